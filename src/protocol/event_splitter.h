#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipknot {

/// Cuts a byte stream behind each whole server-sent event, so that a stream
/// which breaks within an event can go on with that event elsewhere.
class EventSplitter {
 public:
  /// Longest event that is buffered; more is passed on unsplit.
  static constexpr std::size_t kMaxEventBytes = 256 << 10;

  /// @return the bytes of all events completed by `bytes`, unchanged
  std::string Feed(std::string_view bytes);

  /// Forgets bytes of an event that will not be completed by its source.
  void DropRest() {
    m_rest.clear();
    m_scanned = 0;
  }

  /// The number in the last whole event's "id" field.
  std::optional<std::uint64_t> LastId() const { return m_last_id; }
  std::uint64_t Events() const { return m_events; }
  /// Bytes of an event that has not ended.
  const std::string& Rest() const { return m_rest; }

 private:
  void NoteEvent(std::string_view event);

  std::string m_rest;
  std::size_t m_scanned = 0;
  std::optional<std::uint64_t> m_last_id;
  std::uint64_t m_events = 0;
};

}  // namespace cowslipknot
