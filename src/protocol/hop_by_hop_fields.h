#pragma once

#include <string>
#include <vector>

#include "transport/asio.h"

namespace cowslipknot {

/// Removes hop-by-hop header fields and those that describe the framing of a
/// message.
inline void RemoveHopByHopFields(http::fields& header) {
  std::vector<std::string> connection_tokens;
  for (const auto name : http::token_list(header[http::field::connection])) {
    connection_tokens.emplace_back(name);
  }
  for (const auto& name : connection_tokens) header.erase(name);
  for (const auto field :
       {http::field::connection, http::field::keep_alive, http::field::te,
        http::field::trailer, http::field::transfer_encoding,
        http::field::upgrade, http::field::proxy_connection,
        http::field::expect, http::field::content_length}) {
    header.erase(field);
  }
}

}  // namespace cowslipknot
