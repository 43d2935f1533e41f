#include "cowslipknot/gateway/silent_peers.h"

#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using std::chrono::seconds;

Endpoint At(int port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

}  // namespace

Test(silent_peers, an_instance_is_silent_until_it_reports_again) {
  SilentPeers peers;
  peers.Update({At(1), At(2)}, seconds(1));
  cr_expect(peers.Addresses().empty());
  peers.Update({At(1)}, seconds(2));
  cr_assert_eq(peers.Addresses().size(), 1u);
  cr_expect(peers.Addresses()[0] == At(2));
  peers.Update({At(1), At(2)}, seconds(3));
  cr_expect(peers.Addresses().empty());
}

Test(silent_peers, an_instance_that_does_not_come_back_is_forgotten) {
  SilentPeers peers;
  peers.Update({At(1)}, seconds(1));
  peers.Update({}, seconds(2));
  cr_expect_eq(peers.Addresses().size(), 1u);
  peers.Update({At(3)}, seconds(100));
  cr_expect(peers.Addresses().empty());
}

Test(silent_peers, their_number_is_bounded) {
  SilentPeers peers;
  for (int port = 1; port < 2000; ++port) peers.Update({At(port)}, seconds(1));
  cr_expect_leq(peers.Addresses().size(), 256u);
}
