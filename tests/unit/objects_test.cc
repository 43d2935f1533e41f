#include "cowslipknot/state/objects.h"

#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr const char* kValid = R"(
[[workspace]]
name = "desk"
api_keys = ["key-desk"]
[[pool]]
name = "engines"
[[service]]
name = "drafts"
version = "draft-1"
[[version]]
name = "draft-1"
service = "drafts"
pool = "engines"
[[route]]
name = "letters"
service = "drafts"
model = "letter"
)";

}  // namespace

Test(objects, accepts_a_set_whose_references_resolve) {
  const auto set = ParseObjects(kValid, "f");
  cr_assert(set.has_value());
  cr_expect_eq(set->routes.size(), 1u);
}

Test(objects, reports_every_independent_error_at_once) {
  const std::string text = std::string(kValid) + R"(
[[route]]
name = "certs"
service = "draft"
model = "cert"
[[route]]
name = "bad"
service = "drafts"
model = "x"
timeout_ms = "soon"
[[pool]]
name = "other"
checks_fensing = true
)";
  const auto set = ParseObjects(text, "f");
  cr_assert_not(set.has_value());
  cr_expect_eq(set.error().size(), 3u);
  bool suggested = false;
  for (const auto& problem : set.error()) {
    cr_expect_gt(problem.line, 1);
    suggested = suggested || problem.message.find("did you mean 'drafts'") !=
                                 std::string::npos;
  }
  cr_expect(suggested);
}

Test(objects, diff_names_added_removed_and_changed_objects) {
  const std::string after =
      "[[workspace]]\nname = \"desk\"\napi_keys = [\"other\"]\n"
      "[[pool]]\nname = \"new\"\n";
  const auto changes = DiffObjects(kValid, after);
  int added = 0;
  int removed = 0;
  int changed = 0;
  for (const auto& change : changes) {
    added += change.kind == ObjectChange::Kind::kAdded;
    removed += change.kind == ObjectChange::Kind::kRemoved;
    changed += change.kind == ObjectChange::Kind::kChanged;
  }
  cr_expect_eq(added, 1);
  cr_expect_eq(changed, 1);
  cr_expect_eq(removed, 4);
}
