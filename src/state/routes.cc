#include "cowslipknot/gateway/routes.h"

#include <algorithm>
#include <cctype>

namespace cowslipknot::gateway {
namespace {

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

/// Returns the host without its port.
std::string_view HostName(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

RouteTable::RouteTable(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    m_routes.emplace(ToLower(route.host) + route.path_prefix, &route);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  std::string_view path = target.substr(0, target.find('?'));
  std::string key = ToLower(HostName(host));
  const std::size_t host_length = key.size();
  key += path;
  while (key.size() > host_length) {
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < host_length) return nullptr;
    key.resize(slash + 1);
    const auto found = m_routes.find(key);
    if (found != m_routes.end()) return found->second;
    key.resize(slash);
  }
  return nullptr;
}

const ServiceId& PickService(const Route& route, std::uint64_t hash) {
  std::uint64_t total = 0;
  for (const auto& option : route.services) total += option.weight;
  if (total == 0) return route.services.front().service;
  std::uint64_t offset = hash % total;
  for (const auto& option : route.services) {
    if (offset < option.weight) return option.service;
    offset -= option.weight;
  }
  return route.services.back().service;
}

}  // namespace cowslipknot::gateway
