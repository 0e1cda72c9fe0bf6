#include "LibRelay/EventStream.h"

#include <algorithm>
#include <charconv>

namespace Relay {

static constexpr std::string_view lineEnds = "\r\n";

// Values of the event's fields with this name, which includes the colon.
static std::vector<std::string_view> readFields(std::string_view event, std::string_view name)
{
    std::vector<std::string_view> values;
    while (!event.empty()) {
        size_t end = event.find_first_of(lineEnds);
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        values.push_back(line);
    }
    return values;
}

static std::optional<uint64_t> readId(std::string_view event)
{
    std::vector<std::string_view> values = readFields(event, "id:");
    uint64_t id = 0;
    // Of several ids a caller uses the last one.
    if (values.size() != 1)
        return std::nullopt;
    std::string_view text = values.front();
    std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), id);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return id;
}

static bool isError(std::string_view event)
{
    std::vector<std::string_view> values = readFields(event, "event:");
    return std::find(values.begin(), values.end(), "error") != values.end();
}

size_t EventStreamParser::findEventEnd()
{
    for (;;) {
        size_t end = m_pending.find_first_of(lineEnds, std::max(m_lineStart, m_searchedBytes));
        m_searchedBytes = std::min(end, m_pending.size());
        if (end == std::string::npos)
            return 0;
        bool isCarriageReturn = m_pending[end] == '\r';
        // A line feed may follow.
        if (isCarriageReturn && end + 1 == m_pending.size())
            return 0;
        bool isBlankLine = end == m_lineStart;
        m_lineStart = end + (isCarriageReturn && m_pending[end + 1] == '\n' ? 2 : 1);
        if (isBlankLine && m_hasLines)
            return m_lineStart;
        m_hasLines = m_hasLines || !isBlankLine;
    }
}

std::vector<StreamEvent> EventStreamParser::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    if (isOversized())
        return events;
    m_pending += bytes;
    for (size_t length = findEventEnd(); length > 0; length = findEventEnd()) {
        StreamEvent event;
        event.bytes = m_pending.substr(0, length);
        event.id = readId(event.bytes);
        event.isError = isError(event.bytes);
        m_pending.erase(0, length);
        m_searchedBytes = 0;
        m_lineStart = 0;
        m_hasLines = false;
        events.push_back(std::move(event));
    }
    return events;
}

}
