#include "cowslipknot/coordination/suspect_id.h"

#include <xxhash.h>

namespace cowslipknot {

SuspectId IdentifyRequest(std::initializer_list<std::string_view> fields) {
  std::uint64_t hash = 0;
  for (const auto field : fields) {
    // The length keeps fields apart that are alike when joined.
    const std::uint64_t seed = hash + field.size();
    hash = XXH3_64bits_withSeed(field.data(), field.size(), seed);
  }
  return {SuspectId::Kind::kRequest, hash};
}

}  // namespace cowslipknot
