#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipknot {

/// Splits a byte stream into complete server-sent events, so that a stream that
/// breaks within an event can resume with that event at another server.
class EventSplitter {
 public:
  /// Largest event. What is larger is not an event; see IsOverlong().
  static constexpr std::size_t kMaxEventBytes = 256 << 10;

  /// @return the bytes of all events completed by `bytes`, unchanged, up to one
  ///         that is out of order
  std::string Feed(std::string_view bytes);

  /// Sets the id of the event after which the stream is to go on.
  void ResumeAfter(std::uint64_t id) {
    m_last_id = id;
    m_source_changed = true;
  }

  /// Discards a partial event that its source will not complete, and starts to
  /// read from another source.
  void DiscardPartialEvent() {
    m_buffer.clear();
    m_scanned = 0;
    m_out_of_order = false;
    m_source_changed = true;
  }

  /// The numeric "id" of the last complete event that has one.
  std::optional<std::uint64_t> LastId() const { return m_last_id; }
  std::uint64_t EventCount() const { return m_events; }
  /// Complete events that are not only comments: the progress of the stream.
  std::uint64_t FieldEventCount() const { return m_field_events; }
  /// Whether the partial event is larger than any event may be. Its source is
  /// faulty, and no fragment of it has been passed on.
  bool IsOverlong() const { return m_buffer.size() > kMaxEventBytes; }
  /// Whether an event's id did not follow the id before it. The event
  /// and what followed it have not been passed on.
  bool IsOutOfOrder() const { return m_out_of_order; }
  /// The bytes of a partial event.
  const std::string& PartialEvent() const { return m_buffer; }

 private:
  /// Whether an event with this id may follow the last one. Ids increase. The
  /// first id of another source is the successor of the last one, unless the
  /// stream has left out numbers before.
  bool MayFollow(std::uint64_t id);
  /// @return false if the event is out of order; then nothing is recorded
  bool RecordEvent(std::string_view event);

  std::string m_buffer;
  std::size_t m_scanned = 0;
  std::optional<std::uint64_t> m_last_id;
  std::uint64_t m_events = 0;
  std::uint64_t m_field_events = 0;
  bool m_out_of_order = false;
  bool m_source_changed = false;  ///< since the last id
  bool m_has_gaps = false;        ///< ids of one source have left out numbers
};

}  // namespace cowslipknot
