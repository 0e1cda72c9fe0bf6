#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// One complete event, including the blank line that terminates it.
struct StreamEvent {
    std::optional<uint64_t> id;
    std::string bytes;
    bool operator==(const StreamEvent&) const = default;
};

// Incremental parser that splits a text/event-stream into events.
class EventStreamParser {
public:
    // Returns the events that these bytes complete.
    std::vector<StreamEvent> feed(std::string_view bytes);
    // Whether the input so far ends within an event.
    bool hasIncompleteEvent() const { return !m_pending.empty(); }

private:
    std::string m_pending;
};

}
