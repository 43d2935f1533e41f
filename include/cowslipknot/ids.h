#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Strong types for identifiers and units.
namespace cowslipknot {

/// A string identifier. `Tag` makes each kind of identifier a distinct type.
template <class Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string text) : m_text(std::move(text)) {}
  const std::string& Text() const { return m_text; }
  bool Empty() const { return m_text.empty(); }
  auto operator<=>(const StringId&) const = default;

 private:
  std::string m_text;
};

/// An integer quantity. `Tag` makes each unit a distinct type.
template <class Tag, class Rep = std::uint64_t>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep count) : m_count(count) {}
  constexpr Rep Count() const { return m_count; }
  constexpr auto operator<=>(const Quantity&) const = default;

 private:
  Rep m_count{};
};

using NodeId = StringId<struct NodeTag>;            ///< an instance
using ServerId = StringId<struct ServerTag>;        ///< a backend server
using DomainId = StringId<struct DomainTag>;        ///< a failure domain
using RequestId = StringId<struct RequestTag>;      ///< a caller's request
using WorkspaceId = StringId<struct WorkspaceTag>;  ///< a caller's workspace
using PoolId = StringId<struct PoolTag>;
using ServiceId = StringId<struct ServiceTag>;
using VersionId = StringId<struct VersionTag>;
using RouteId = StringId<struct RouteTag>;
using MoveId = StringId<struct MoveTag>;

using Milliseconds = std::chrono::milliseconds;
using TokenCount = Quantity<struct TokenCountTag>;
using ByteCount = Quantity<struct ByteCountTag>;
using Revision = Quantity<struct RevisionTag>;        ///< of the configuration
using Incarnation = Quantity<struct IncarnationTag>;  ///< of a node or server
using RequestRate = Quantity<struct RequestRateTag, double>;  ///< a second
using Epoch = Quantity<struct EpochTag>;  ///< of a lease; its fencing token
/// Milliseconds since the Unix epoch.
using WallTime = Quantity<struct WallTimeTag, std::int64_t>;
/// A uniformly distributed random number in [0, 1).
using UnitDraw = double;

/// One process of a backend server.
struct ServerBoot {
  ServerId server;
  std::int64_t started_ms = 0;  ///< Unix time, or what else orders the starts
  auto operator<=>(const ServerBoot&) const = default;
};

/// A TCP endpoint; `host` is a numeric IP address.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

}  // namespace cowslipknot

template <class Tag>
struct std::hash<cowslipknot::StringId<Tag>> {
  std::size_t operator()(const cowslipknot::StringId<Tag>& id) const {
    return std::hash<std::string>{}(id.Text());
  }
};
