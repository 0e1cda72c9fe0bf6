#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// One complete event, including the blank line that terminates it.
struct StreamEvent {
    // Empty if the event has no id, several, or one that is not a number.
    std::optional<uint64_t> id;
    // Whether the event's type is "error".
    bool isError { false };
    std::string bytes;
    bool operator==(const StreamEvent&) const = default;
};

// Incremental parser that splits a text/event-stream into events. A line ends with CR LF, LF or CR; a blank line ends an event.
class EventStreamParser {
public:
    // Returns the events that these bytes complete.
    std::vector<StreamEvent> feed(std::string_view bytes);
    // Whether the input so far ends within an event.
    bool hasIncompleteEvent() const { return !m_pending.empty(); }
    size_t pendingBytes() const { return m_pending.capacity(); }
    // Whether the incomplete event exceeds any sound one; a faulty endpoint may send bytes without end. Nothing more is parsed.
    bool isOversized() const { return m_pending.size() > maxEventBytes; }

private:
    static constexpr size_t maxEventBytes = 256 * 1024;

    // Returns the length of the first complete event in m_pending, or 0 if there is none.
    size_t findEventEnd();

    std::string m_pending;
    // Bytes of m_pending known to contain no further end of a line.
    size_t m_searchedBytes { 0 };
    // Where the line that has not ended begins in m_pending.
    size_t m_lineStart { 0 };
    // Whether a line that is not blank has ended in m_pending.
    bool m_hasLines { false };
};

}
