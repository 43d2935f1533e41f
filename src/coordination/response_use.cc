#include "cowslipknot/gateway/response_use.h"

namespace cowslipknot::gateway {

bool IsOwnResponse(ResponseId id, bool reused_connection) {
  if (id == ResponseId::kAbsent) return !reused_connection;
  return id == ResponseId::kOwn;
}

}  // namespace cowslipknot::gateway
