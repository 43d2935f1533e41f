#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/state/fleet.h"
#include "transport/http_client.h"

/// Client of the platform's table service and instance list.
namespace cowslipknot {

struct TableRow {
  std::uint64_t version = 0;  ///< 0: no row exists
  std::string value;
};

struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

struct RowWrite {
  std::string key;
  std::optional<std::string> value;  ///< nullopt deletes the row
};

struct TransactReply {
  bool committed = false;
  std::uint64_t version = 0;           ///< of every row written
  std::vector<std::string> conflicts;  ///< keys whose condition failed
};

struct InstanceDelta {
  std::uint64_t sequence = 0;
  std::vector<InstanceRecord> changed;
  std::vector<ServerId> removed;
};

struct PlatformCallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t failures = 0;
};

/// Calls the platform. After a failure it is unknown whether a write took
/// effect. Not thread-safe.
class PlatformClient {
 public:
  PlatformClient(std::shared_ptr<HttpClient> http, Endpoint platform,
                 Milliseconds timeout)
      : m_http(std::move(http)),
        m_platform(std::move(platform)),
        m_timeout(timeout) {}

  Awaitable<Result<TransactReply>> Transact(
      std::vector<RowCondition> conditions, std::vector<RowWrite> writes);
  /// @param known  version that the caller has; the value is omitted if the
  ///               row has not changed since
  Awaitable<Result<TableRow>> Read(std::string key, std::uint64_t known = 0);
  /// Rows of the instance list that changed after `since`.
  Awaitable<Result<InstanceDelta>> Instances(std::uint64_t since);

  const PlatformCallCounts& CallCounts() const { return m_call_counts; }

 private:
  Awaitable<Result<std::string>> Post(std::string path, std::string body);

  std::shared_ptr<HttpClient> m_http;
  Endpoint m_platform;
  Milliseconds m_timeout;
  PlatformCallCounts m_call_counts;
};

/// Converts a row of the instance list from and to the platform's JSON.
Result<InstanceRecord> DecodeInstance(const boost::json::value& value);
boost::json::object EncodeInstance(const InstanceRecord& record);

}  // namespace cowslipknot
