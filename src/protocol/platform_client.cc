#include "protocol/platform_client.h"

#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

TransactReply DecodeReply(const json::object& encoded) {
  TransactReply reply;
  reply.committed = encoded.at("committed").as_bool();
  reply.version = encoded.at("version").to_number<std::uint64_t>();
  for (const auto& key : encoded.at("conflicts").as_array()) {
    reply.conflicts.emplace_back(key.as_string());
  }
  return reply;
}

}  // namespace

Result<InstanceRecord> DecodeInstance(const json::value& value) {
  InstanceRecord record;
  try {
    const json::object& encoded = value.as_object();
    record.id = ServerId(std::string(encoded.at("id").as_string()));
    record.kind = std::string(encoded.at("kind").as_string());
    record.address.host = std::string(encoded.at("host").as_string());
    record.address.port = encoded.at("port").to_number<std::uint16_t>();
    record.domain = DomainId(std::string(encoded.at("domain").as_string()));
    record.pool = PoolId(std::string(encoded.at("pool").as_string()));
    record.incarnation =
        Incarnation(encoded.at("incarnation").to_number<std::uint64_t>());
    record.leaving = encoded.at("leaving").as_bool();
    record.reclaimable = encoded.at("reclaimable").as_bool();
    record.price_per_hour = encoded.at("price").to_number<double>();
  } catch (const std::exception& error) {
    return Fail(ResultCode::kBackendMalformed, error.what());
  }
  return record;
}

json::object EncodeInstance(const InstanceRecord& record) {
  json::object encoded;
  encoded["id"] = record.id.Text();
  encoded["kind"] = record.kind;
  encoded["host"] = record.address.host;
  encoded["port"] = record.address.port;
  encoded["domain"] = record.domain.Text();
  encoded["pool"] = record.pool.Text();
  encoded["incarnation"] = record.incarnation.Count();
  encoded["leaving"] = record.leaving;
  encoded["reclaimable"] = record.reclaimable;
  encoded["price"] = record.price_per_hour;
  return encoded;
}

Awaitable<Result<std::string>> PlatformClient::Post(std::string path,
                                                    std::string body) {
  HttpRequest request(http::verb::post, path, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  CallProgress progress;
  auto response = co_await m_http->Call(m_platform, std::move(request),
                                        m_timeout, Reuse::kAllowed, progress);
  if (!response && progress.reused_connection) m_http->CloseIdle(m_platform);
  if (!response || response->result() != http::status::ok) {
    ++m_call_counts.failures;
    co_return Fail(ResultCode::kPlatformUnavailable,
                   response ? response->body() : response.error().detail,
                   Execution::kUnknown);
  }
  co_return std::move(response->body());
}

Awaitable<Result<TransactReply>> PlatformClient::Transact(
    std::vector<RowCondition> conditions, std::vector<RowWrite> writes) {
  json::array condition_list;
  for (const auto& condition : conditions) {
    condition_list.push_back(
        json::object({{"key", condition.key}, {"version", condition.version}}));
  }
  json::array write_list;
  for (const auto& write : writes) {
    json::value value;
    if (write.value) value = json::string(*write.value);
    write_list.push_back(json::object({{"key", write.key}, {"value", value}}));
  }
  ++m_call_counts.writes;
  json::object body;
  body["conditions"] = std::move(condition_list);
  body["writes"] = std::move(write_list);
  auto answer = co_await Post("/table/transact", json::serialize(body));
  if (!answer) co_return tl::make_unexpected(answer.error());
  try {
    co_return DecodeReply(json::parse(*answer).as_object());
  } catch (const std::exception& error) {
    co_return Fail(ResultCode::kPlatformUnavailable, error.what(),
                   Execution::kUnknown);
  }
}

Awaitable<Result<TableRow>> PlatformClient::Read(std::string key,
                                                 std::uint64_t known) {
  ++m_call_counts.reads;
  json::object body;
  body["key"] = key;
  body["known"] = known;
  auto answer = co_await Post("/table/read", json::serialize(body));
  if (!answer) co_return tl::make_unexpected(answer.error());
  try {
    const json::value parsed = json::parse(*answer);
    TableRow row;
    row.version = parsed.at("version").to_number<std::uint64_t>();
    row.value = std::string(parsed.at("value").as_string());
    co_return row;
  } catch (const std::exception& error) {
    co_return Fail(ResultCode::kPlatformUnavailable, error.what());
  }
}

Awaitable<Result<InstanceDelta>> PlatformClient::Instances(
    std::uint64_t since) {
  ++m_call_counts.reads;
  json::object body;
  body["since"] = since;
  auto answer = co_await Post("/instances", json::serialize(body));
  if (!answer) co_return tl::make_unexpected(answer.error());
  InstanceDelta delta;
  try {
    const json::value parsed = json::parse(*answer);
    delta.sequence = parsed.at("sequence").to_number<std::uint64_t>();
    for (const auto& value : parsed.at("changed").as_array()) {
      auto record = DecodeInstance(value);
      if (record) delta.changed.push_back(std::move(*record));
    }
    for (const auto& id : parsed.at("removed").as_array()) {
      delta.removed.emplace_back(std::string(id.as_string()));
    }
  } catch (const std::exception& error) {
    co_return Fail(ResultCode::kPlatformUnavailable, error.what());
  }
  co_return delta;
}

}  // namespace cowslipknot
