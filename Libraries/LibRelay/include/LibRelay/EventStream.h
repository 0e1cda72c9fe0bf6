#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// One whole event of a stream, with the blank line that ends it.
struct StreamEvent {
    std::optional<uint64_t> id;
    std::string bytes;
    bool operator==(const StreamEvent&) const = default;
};

// Cuts a text/event-stream into events.
class EventStreamParser {
public:
    // The events that the bytes complete.
    std::vector<StreamEvent> feed(std::string_view bytes);
    // Whether the bytes so far end in the middle of an event.
    bool hasIncompleteEvent() const { return !m_pending.empty(); }

private:
    std::string m_pending;
};

}
