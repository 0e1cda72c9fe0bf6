#include "SSEEngineStream.h"

#include "UsageParser.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Endpoint {

using Json = nlohmann::json;

static constexpr size_t maxEventBytes = 1024 * 1024;
// A connection can be reused only after its body has been read to the end, which follows the "[DONE]" event.
static constexpr std::chrono::milliseconds endOfBodyTimeout(200);

// Size of the first event including the terminating empty line; 0 if the event is incomplete.
static size_t eventSize(std::string_view bytes, size_t from)
{
    size_t lineEnd = bytes.find('\n', from);
    while (lineEnd != std::string_view::npos) {
        std::string_view rest = bytes.substr(lineEnd + 1);
        if (rest.starts_with('\n'))
            return lineEnd + 2;
        if (rest.starts_with("\r\n"))
            return lineEnd + 3;
        lineEnd = bytes.find('\n', lineEnd + 1);
    }
    return 0;
}

// Value of the first data field of the event; empty if there is none.
static std::string_view dataOf(std::string_view event)
{
    static constexpr std::string_view field = "data:";
    size_t start = 0;
    if (!event.starts_with(field)) {
        start = event.find("\ndata:");
        if (start == std::string_view::npos)
            return {};
        ++start;
    }
    std::string_view data = event.substr(start + field.size());
    data = data.substr(0, data.find('\n'));
    if (data.ends_with('\r'))
        data.remove_suffix(1);
    if (data.starts_with(' '))
        data.remove_prefix(1);
    return data;
}

static size_t skipSpaces(std::string_view text, size_t position)
{
    while (position < text.size() && (text[position] == ' ' || text[position] == '\t'))
        ++position;
    return position;
}

// Whether the JSON text has a "usage" member that is an object. Generated text cannot match, because quotes inside JSON
// strings are escaped.
static bool hasUsageObject(std::string_view data)
{
    static constexpr std::string_view usageKey = "\"usage\"";
    size_t keyPosition = data.find(usageKey);
    if (keyPosition == std::string_view::npos)
        return false;
    size_t colon = skipSpaces(data, keyPosition + usageKey.size());
    if (colon >= data.size() || data[colon] != ':')
        return false;
    size_t value = skipSpaces(data, colon + 1);
    return value < data.size() && data[value] == '{';
}

SSEEngineStream::SSEEngineStream(std::unique_ptr<HTTP::ResponseStream> body, std::string streamId, std::string peer)
    : m_body(std::move(body))
    , m_streamId(std::move(streamId))
    , m_peer(std::move(peer))
{
}

Core::Task<std::optional<std::string>> SSEEngineStream::readEvents(Core::Deadline deadline, Core::Reason& reason)
{
    for (;;) {
        consumeBuffer();
        if (!m_forwardable.empty())
            co_return std::exchange(m_forwardable, {});
        if (m_failure) {
            m_body.reset();
            reason = *m_failure;
            co_return std::nullopt;
        }
        if (m_isDone) {
            co_await releaseConnection();
            co_return std::string();
        }
        std::optional<std::string> chunk = co_await m_body->readSome(deadline, reason);
        if (!chunk) {
            m_failure = reason;
            continue;
        }
        if (chunk->empty())
            fail("the response body ended before the [DONE] event");
        if (m_buffer.empty())
            m_buffer = std::move(*chunk);
        else
            m_buffer += *chunk;
    }
}

void SSEEngineStream::consumeBuffer()
{
    std::string_view bytes(m_buffer);
    size_t consumed = 0;
    while (!m_failure && !m_isDone) {
        size_t size = eventSize(bytes.substr(consumed), 0);
        if (size == 0)
            break;
        std::string_view event = bytes.substr(consumed, size);
        if (processEvent(event))
            m_forwardable += event;
        consumed += size;
    }
    m_buffer.erase(0, consumed);
    if (m_buffer.size() > maxEventBytes)
        fail("an event exceeds the limit of " + std::to_string(maxEventBytes) + " bytes");
}

bool SSEEngineStream::processEvent(std::string_view event)
{
    // SSE comments are keep-alives and carry no id.
    if (event.starts_with(':'))
        return true;
    std::string_view data = dataOf(event);
    if (data == "[DONE]") {
        if (m_usage)
            m_isDone = true;
        else
            fail("the [DONE] event came before an event with usage");
        return false;
    }
    if (m_usage) {
        fail("unexpected event after the event with usage");
        return false;
    }
    if (!hasStreamId(event, data)) {
        fail("the id of an event does not match the stream");
        return false;
    }
    if (hasUsageObject(data)) {
        parseFinalEvent(event, data);
        return false;
    }
    ++m_eventCount;
    return true;
}

bool SSEEngineStream::hasStreamId(std::string_view event, std::string_view data)
{
    if (!m_idPrefix.empty() && event.starts_with(m_idPrefix))
        return true;
    Json json = Json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("id") || json["id"] != m_streamId)
        return false;
    // Later events that start with the same bytes have the same id. This holds only if the id is the first member of the
    // object; otherwise each event is parsed.
    std::string idMember = "{\"id\":" + Json(m_streamId).dump();
    if (data.starts_with(idMember))
        m_idPrefix = event.substr(0, static_cast<size_t>(data.data() - event.data()) + idMember.size());
    return true;
}

void SSEEngineStream::parseFinalEvent(std::string_view event, std::string_view data)
{
    m_usage = parseUsage(data);
    if (m_usage)
        m_finalEvent = event;
    else
        fail("the final event has no valid usage object");
}

void SSEEngineStream::fail(std::string message)
{
    if (!m_failure)
        m_failure = Core::Reason { Core::FailureKind::OutcomeUnknown, "read stream " + m_streamId, m_peer, std::move(message) };
}

// Reads the end of the body so that the client can reuse the connection. Closes the connection if there is more data.
Core::Task<void> SSEEngineStream::releaseConnection()
{
    Core::Reason ignored;
    if (m_body)
        co_await m_body->readSome(Core::Deadline::after(endOfBodyTimeout), ignored);
    m_body.reset();
}

}
