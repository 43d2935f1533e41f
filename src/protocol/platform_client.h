#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/state/fleet.h"
#include "transport/http_client.h"

/// The platform's table service and instance list.
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
  std::optional<std::string> value;  ///< nothing deletes the row
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

struct PlatformUse {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t failures = 0;
};

/// Calls the platform. A failure leaves it open whether a write took effect.
/// Single-threaded.
class PlatformClient {
 public:
  PlatformClient(std::shared_ptr<HttpClient> http, Endpoint platform,
                 Milliseconds timeout)
      : m_http(std::move(http)),
        m_platform(std::move(platform)),
        m_timeout(timeout) {}

  Awaitable<Result<TransactReply>> Transact(
      std::vector<RowCondition> conditions, std::vector<RowWrite> writes);
  /// @param known  version held by the caller; the row's value is left out if
  ///               it has not changed since
  Awaitable<Result<TableRow>> Read(std::string key, std::uint64_t known = 0);
  /// Rows of the instance list that changed after `since`.
  Awaitable<Result<InstanceDelta>> Instances(std::uint64_t since);

  const PlatformUse& Use() const { return m_use; }

 private:
  Awaitable<Result<std::string>> Post(std::string path, std::string body);

  std::shared_ptr<HttpClient> m_http;
  Endpoint m_platform;
  Milliseconds m_timeout;
  PlatformUse m_use;
};

/// One instance-list row as the platform writes it.
Result<InstanceRecord> DecodeInstance(const boost::json::value& value);
boost::json::object EncodeInstance(const InstanceRecord& record);

}  // namespace cowslipknot
