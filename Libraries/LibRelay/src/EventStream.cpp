#include "LibRelay/EventStream.h"

#include <charconv>

namespace Relay {

// Value of the event's first field with this name, which includes the colon.
static std::optional<std::string_view> readField(std::string_view event, std::string_view name)
{
    while (!event.empty()) {
        size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }
    return std::nullopt;
}

static std::optional<uint64_t> readId(std::string_view event)
{
    std::optional<std::string_view> text = readField(event, "id:");
    uint64_t id = 0;
    if (!text)
        return std::nullopt;
    std::from_chars_result result = std::from_chars(text->data(), text->data() + text->size(), id);
    if (result.ec != std::errc() || result.ptr != text->data() + text->size())
        return std::nullopt;
    return id;
}

// Length of the first complete event in the bytes, or 0 if there is none. The search starts at the given offset.
static size_t eventLength(std::string_view bytes, size_t offset)
{
    size_t lf = bytes.find("\n\n", offset);
    size_t crlf = bytes.find("\r\n\r\n", offset);
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return 0;
    return lf < crlf ? lf + 2 : crlf + 4;
}

std::vector<StreamEvent> EventStreamParser::feed(std::string_view bytes)
{
    // The end of an event may be split between two calls.
    static constexpr size_t longestTerminator = 4;
    std::vector<StreamEvent> events;
    if (isOversized())
        return events;
    m_pending += bytes;
    for (size_t length = eventLength(m_pending, m_searchedBytes); length > 0; length = eventLength(m_pending, 0)) {
        StreamEvent event;
        event.bytes = m_pending.substr(0, length);
        event.id = readId(event.bytes);
        event.isError = readField(event.bytes, "event:") == "error";
        m_pending.erase(0, length);
        events.push_back(std::move(event));
    }
    m_searchedBytes = m_pending.size() < longestTerminator ? 0 : m_pending.size() - (longestTerminator - 1);
    return events;
}

}
