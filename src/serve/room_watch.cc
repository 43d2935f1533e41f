#include "serve/room_watch.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/clock.h"
#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

/// Interval at which a level is exchanged with another instance.
constexpr Milliseconds kShareInterval(250);
constexpr Milliseconds kShareTimeout(150);
/// Levels are sent in thousandths; lower ones are not sent.
constexpr double kLevelUnits = 1000;
constexpr double kMinSharedLevel = 0.02;
/// Largest refused share of callers that return too late to be on time. They
/// have waited as they were told, but new ones can still be on time.
constexpr double kMaxShareOfLateReturn = 0.5;
/// A level that is logged as the beginning of a shortage.
constexpr double kLoggedLevel = 0.1;

std::uint64_t EncodeLevel(double level) {
  return static_cast<std::uint64_t>(std::lround(level * kLevelUnits));
}

double DecodeLevel(std::uint64_t amount) {
  return static_cast<double>(amount) / kLevelUnits;
}

std::map<ServiceId, std::set<std::uint32_t>> PrioritiesByService(
    const Configuration& configuration) {
  std::map<ServiceId, std::set<std::uint32_t>> priorities;
  for (const auto& route : configuration.routes) {
    for (const auto& weighted : route.services) {
      priorities[weighted.service].insert(route.priority);
    }
  }
  return priorities;
}

}  // namespace

RoomWatch::RoomWatch(PeerLinks& links, const asio::any_io_executor& executor,
                     const Settings& settings, MetricSet& metrics, Peers peers,
                     Draw draw)
    : m_links(links),
      m_metrics(metrics),
      m_enabled(settings.sheds_under_shortage),
      m_peers(std::move(peers)),
      m_draw(std::move(draw)) {
  m_links.SetHandler(wire::Kind::ShareShortage, [this](const PeerFrame& frame) {
    return OnShareShortage(frame);
  });
  if (!m_enabled) return;
  SpawnLoop(executor, "share shortage", [this] { return ShareLevels(); });
}

void RoomWatch::Update(const ConfigurationPtr& configuration) {
  if (!m_enabled || !configuration || configuration == m_configuration) return;
  m_configuration = configuration;
  const auto by_service = PrioritiesByService(*configuration);
  std::erase_if(m_rooms, [&](const auto& room) {
    const auto found = by_service.find(room.first);
    return found == by_service.end() || found->second.size() < 2;
  });
  for (const auto& [service, priorities] : by_service) {
    if (priorities.size() < 2) continue;
    ServiceRoom& room = m_rooms[service];
    room.priorities.assign(priorities.begin(), priorities.end());
    room.level.SetClasses(static_cast<std::uint32_t>(priorities.size()));
  }
}

RoomWatch::ServiceRoom* RoomWatch::Find(const ServiceId& service) {
  const auto found = m_rooms.find(service);
  if (found == m_rooms.end()) return nullptr;
  ServiceRoom& room = found->second;
  Log(service, room, room.level.Update(TimeSinceBoot()));
  return &room;
}

void RoomWatch::Log(const ServiceId& service, ServiceRoom& room, double level) {
  room.highest = std::max(room.highest, level);
  if (!room.is_short && level >= kLoggedLevel) {
    room.is_short = true;
    LogEvent(Event::kShortageBegan, {{"service", service.Text()}});
  }
  if (!room.is_short || level > 0) return;
  LogEvent(Event::kShortageEnded,
           {{"service", service.Text()},
            {"highest_level", std::to_string(room.highest)},
            {"refused", std::to_string(room.refused)}});
  room.is_short = false;
  room.highest = 0;
  room.refused = 0;
}

Urgency RoomWatch::UrgencyOf(const ServiceRoom& room, const Route& route) {
  const auto rank = std::lower_bound(room.priorities.begin(),
                                     room.priorities.end(), route.priority) -
                    room.priorities.begin();
  const auto classes = static_cast<std::uint32_t>(room.priorities.size());
  // A route of an older configuration may have another priority.
  return {std::min(static_cast<std::uint32_t>(rank), classes - 1), classes};
}

RefusedRequest RoomWatch::Describe(const ServiceRoom& room, const Route& route,
                                   const RequestAge& age) {
  RefusedRequest request;
  request.urgency = UrgencyOf(room, route);
  request.target = route.latency_target;
  request.age = age.age;
  request.time_left = age.time_left;
  request.refused_share = room.level.RefusedShare(request.urgency);
  return request;
}

Milliseconds RoomWatch::PromiseReturn(ServiceRoom& room, const Route& route,
                                      const RefusedRequest& request,
                                      const char* reason) {
  ++room.refused;
  m_metrics.Add("cowslipknot_shortage_refusals_total",
                FormatLabel("route", route.name.Text()) + "," +
                    FormatLabel("reason", reason));
  const auto now = TimeSinceBoot();
  return room.returns.Promise(request, room.level.ServedRate(now), now,
                              m_draw());
}

std::optional<Milliseconds> RoomWatch::Refuse(const Route& route,
                                              const ServiceId& service,
                                              const RequestAge& age) {
  ServiceRoom* const room = Find(service);
  if (room == nullptr) return std::nullopt;
  const RefusedRequest request = Describe(*room, route, age);
  double share = request.refused_share;
  if (request.age.count() > 0) {
    share = request.age < request.target
                ? room->level.RefusedShareOfReturn(request.urgency)
                : std::min(share, kMaxShareOfLateReturn);
  }
  if (share <= 0 || m_draw() >= share) return std::nullopt;
  return PromiseReturn(*room, route, request, "level");
}

std::optional<Milliseconds> RoomWatch::ReturnDelay(const Route& route,
                                                   const ServiceId& service,
                                                   const RequestAge& age) {
  ServiceRoom* const room = Find(service);
  if (room == nullptr || !room->is_short) return std::nullopt;
  return PromiseReturn(*room, route, Describe(*room, route, age),
                       "servers_full");
}

bool RoomWatch::WaitsBehind(const Route& route, const ServiceId& service,
                            Milliseconds age) {
  const ServiceRoom* const room = Find(service);
  return room != nullptr && room->is_short && age >= route.latency_target;
}

Awaitable<void> RoomWatch::ShareLevels() {
  while (true) {
    co_await SleepFor(kShareInterval);
    const std::vector<Endpoint> peers = m_peers();
    if (peers.empty()) continue;
    std::vector<ServiceId> services;
    for (auto& [service, room] : m_rooms) {
      const double level = room.level.Update(TimeSinceBoot());
      Log(service, room, level);
      if (level >= kMinSharedLevel) services.push_back(service);
    }
    for (const auto& service : services) {
      const auto drawn = static_cast<std::size_t>(
          m_draw() * static_cast<double>(peers.size()));
      co_await ShareLevel(service, peers[std::min(drawn, peers.size() - 1)]);
    }
  }
}

Awaitable<void> RoomWatch::ShareLevel(ServiceId service, Endpoint peer) {
  const ServiceRoom* const room = Find(service);
  if (room == nullptr) co_return;
  PeerFrame frame;
  frame.kind = wire::Kind::ShareShortage;
  frame.text = service.Text();
  frame.amount = EncodeLevel(m_rooms[service].level.Update(TimeSinceBoot()));
  const auto answer =
      co_await m_links.Call(std::move(peer), std::move(frame), kShareTimeout);
  if (!answer || answer->text != service.Text()) co_return;
  // The configuration may have changed meanwhile.
  ServiceRoom* const latest = Find(service);
  if (latest != nullptr) latest->level.Average(DecodeLevel(answer->amount));
}

PeerFrame RoomWatch::OnShareShortage(const PeerFrame& frame) {
  PeerFrame answer;
  const ServiceId service(frame.text);
  ServiceRoom* const room = Find(service);
  if (room == nullptr) return answer;
  answer.text = frame.text;
  answer.amount = EncodeLevel(room->level.Update(TimeSinceBoot()));
  room->level.Average(DecodeLevel(frame.amount));
  return answer;
}

RoomWatch::Attempt::Attempt(RoomWatch& watch, const Route& route,
                            ServiceId service)
    : m_watch(watch), m_service(std::move(service)) {
  ServiceRoom* const room = m_watch.Find(m_service);
  if (room == nullptr) return;
  m_id = room->level.RecordSent(route.latency_target, TimeSinceBoot());
}

RoomWatch::Attempt::~Attempt() {
  const auto room = m_watch.m_rooms.find(m_service);
  if (m_id == 0 || room == m_watch.m_rooms.end()) return;
  room->second.level.Forget(m_id, TimeSinceBoot());
}

void RoomWatch::Attempt::OnFirstEvent() {
  ServiceRoom* const room = m_watch.Find(m_service);
  if (m_id == 0 || room == nullptr) return;
  room->level.RecordFirstEvent(m_id, TimeSinceBoot());
}

void RoomWatch::Attempt::OnRefused() {
  ServiceRoom* const room = m_watch.Find(m_service);
  if (m_id == 0 || room == nullptr) return;
  room->level.RecordRefused(m_id, TimeSinceBoot());
}

}  // namespace cowslipknot::gateway
