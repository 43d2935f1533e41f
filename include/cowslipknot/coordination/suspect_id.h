#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace cowslipknot {

/// What a server may have crashed on.
struct SuspectId {
  enum class Kind : std::uint8_t {
    kPromptPart,  ///< a part of a prompt that several requests may have
    kRequest,     ///< a request that its caller may repeat
  };
  Kind kind = Kind::kPromptPart;
  std::uint64_t value = 0;
  auto operator<=>(const SuspectId&) const = default;
};

/// All suspects of one request.
using Suspects = std::vector<SuspectId>;

/// The suspect that a request is as a whole.
/// @param fields  all that stays the same when its caller repeats it, always in
///                the same order
SuspectId IdentifyRequest(std::initializer_list<std::string_view> fields);

}  // namespace cowslipknot
