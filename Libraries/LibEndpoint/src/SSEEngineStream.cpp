#include "SSEEngineStream.h"

#include "UsageParser.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Endpoint {

using Json = nlohmann::json;

static constexpr size_t maxEventBytes = 1024 * 1024;
// Time to wait for the end of the body after the end marker, so that the connection can be used again.
static constexpr std::chrono::milliseconds endOfBodyLimit(200);

// The size of the first complete event including its empty line; 0 when the event is incomplete.
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

// The value of the event's data field; empty when there is none.
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

// Whether the JSON text has a "usage" member that is an object. Quotes inside JSON strings are escaped, so the searched
// bytes cannot occur in a token.
static bool hasUsage(std::string_view data)
{
    static constexpr std::string_view member = "\"usage\"";
    size_t found = data.find(member);
    if (found == std::string_view::npos)
        return false;
    size_t colon = skipSpaces(data, found + member.size());
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
        if (!m_ready.empty())
            co_return std::exchange(m_ready, {});
        if (m_failure) {
            m_body.reset();
            reason = *m_failure;
            co_return std::nullopt;
        }
        if (m_isDone) {
            co_await releaseConnection();
            co_return std::string();
        }
        std::optional<std::string> piece = co_await m_body->readSome(deadline, reason);
        if (!piece) {
            m_failure = reason;
            continue;
        }
        if (piece->empty())
            fail("the stream ended without its end marker");
        if (m_buffer.empty())
            m_buffer = std::move(*piece);
        else
            m_buffer += *piece;
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
        if (accept(event))
            m_ready += event;
        consumed += size;
    }
    m_buffer.erase(0, consumed);
    if (m_buffer.size() > maxEventBytes)
        fail("an event is larger than " + std::to_string(maxEventBytes) + " bytes");
}

bool SSEEngineStream::accept(std::string_view event)
{
    // Comments keep connections open and concern no stream.
    if (event.starts_with(':'))
        return true;
    std::string_view data = dataOf(event);
    if (data == "[DONE]") {
        if (m_usage)
            m_isDone = true;
        else
            fail("the stream ended without its usage");
        return false;
    }
    if (m_usage) {
        fail("an event follows the one with the usage");
        return false;
    }
    if (!hasOwnId(event, data)) {
        fail("an event does not carry the stream's identity");
        return false;
    }
    if (hasUsage(data)) {
        takeFinalEvent(event, data);
        return false;
    }
    ++m_eventCount;
    return true;
}

bool SSEEngineStream::hasOwnId(std::string_view event, std::string_view data)
{
    if (!m_ownPrefix.empty() && event.starts_with(m_ownPrefix))
        return true;
    Json json = Json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("id") || json["id"] != m_streamId)
        return false;
    // Later events with the same bytes up to the id are known to have it too. This holds only when the id is the first
    // member; other events are parsed.
    std::string idMember = "{\"id\":" + Json(m_streamId).dump();
    if (data.starts_with(idMember))
        m_ownPrefix = event.substr(0, static_cast<size_t>(data.data() - event.data()) + idMember.size());
    return true;
}

void SSEEngineStream::takeFinalEvent(std::string_view event, std::string_view data)
{
    m_usage = parseUsage(data);
    if (m_usage)
        m_finalEvent = event;
    else
        fail("the usage is malformed");
}

void SSEEngineStream::fail(std::string message)
{
    if (!m_failure)
        m_failure = Core::Reason { Core::FailureKind::OutcomeUnknown, "read stream " + m_streamId, m_peer, std::move(message) };
}

// Reads the end of the body, after which the client may use the connection again. A body that goes on is closed.
Core::Task<void> SSEEngineStream::releaseConnection()
{
    Core::Reason ignored;
    if (m_body)
        co_await m_body->readSome(Core::Deadline::after(endOfBodyLimit), ignored);
    m_body.reset();
}

}
