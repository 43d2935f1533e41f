#pragma once

#include <string>
#include <vector>

#include "transport/asio.h"

namespace cowslipknot {

/// Removes header fields that concern one connection only, and those that
/// describe a message's framing there.
inline void RemoveConnectionFields(http::fields& header) {
  std::vector<std::string> listed;
  for (const auto name : http::token_list(header[http::field::connection])) {
    listed.emplace_back(name);
  }
  for (const auto& name : listed) header.erase(name);
  for (const auto field :
       {http::field::connection, http::field::keep_alive, http::field::te,
        http::field::trailer, http::field::transfer_encoding,
        http::field::upgrade, http::field::proxy_connection,
        http::field::expect, http::field::content_length}) {
    header.erase(field);
  }
}

}  // namespace cowslipknot
