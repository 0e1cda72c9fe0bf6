#include "Events.h"
#include "RequestExecution.h"
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

// The part of RequestExecution that passes a request on through another daemon while this host is cut off from the service's endpoints.
namespace Relay {

using Core::Reason;

// Peers that are asked for one request, as long as each refuses it.
static constexpr int maxRelayPeers = 4;
// Largest whole response that is passed on.
static constexpr size_t maxRelayedResponseBytes = 8 * 1024 * 1024;
static constexpr size_t maxRefusalBytes = 64 * 1024;
// The code of a refusal by a host that is cut off from the service's endpoints.
static constexpr const char* cutOffCode = "cut_off";
// A retry reaches another daemon.
static constexpr int64_t retryAfterCutOffMs = 50;
// With these a daemon guarantees that the request has not run.
static constexpr std::array<unsigned, 4> notRunStatuses { 408, 421, 429, 503 };

bool RequestExecution::isCutOffFrom(const std::string& service) const
{
    return m_handler.m_hooks.isCutOff && m_handler.m_hooks.isCutOff(service);
}

Core::Task<void> RequestExecution::relayToPeer()
{
    settleTokens();
    if (m_request.isRelayed) {
        co_await refuse(cutOffRefusal("and the request was passed on by another one already"));
        co_return;
    }
    std::optional<HTTP::Response> refusal;
    std::set<Core::Address> asked;
    while (asked.size() < maxRelayPeers && !m_deadline.hasPassed() && !*m_isCallerGone) {
        std::optional<Core::Address> peer = m_handler.m_hooks.relayPeer(asked);
        if (!peer)
            break;
        asked.insert(*peer);
        if (co_await relayTo(*peer, refusal) == Outcome::Finished)
            co_return;
    }
    if (*m_isCallerGone) {
        logCompletion("caller_gone", "");
    } else if (refusal) {
        Reason ignored;
        unsigned status = refusal->status;
        bool isSent = co_await m_writer.send(std::move(*refusal), ignored);
        logCompletion(isSent ? "answered" : "caller_gone", "status=" + std::to_string(status) + " reason=\"" + m_lastFailure + "\"");
    } else {
        co_await refuse(cutOffRefusal("and no peer took the request; " + m_lastFailure));
    }
}

Refusal RequestExecution::cutOffRefusal(const std::string& detail) const
{
    return { 503, cutOffCode, "this host reaches no endpoint of service " + m_service + ", " + detail, retryAfterCutOffMs };
}

// Whether a daemon that refuses a request with this code would refuse all others too.
static bool refusesAll(const std::string& body)
{
    static constexpr std::array<std::string_view, 5> codes { cutOffCode, "link_full", "host_overloaded", "not_started", "stopping" };
    nlohmann::json message = nlohmann::json::parse(body, nullptr, false);
    if (!message.is_object() || !message.contains("error") || !message["error"].is_object())
        return false;
    nlohmann::json code = message["error"].value("code", nlohmann::json());
    return code.is_string() && std::find(codes.begin(), codes.end(), code.get<std::string>()) != codes.end();
}

Core::Task<RequestExecution::Outcome> RequestExecution::relayTo(Core::Address peer, std::optional<HTTP::Response>& refusal)
{
    HTTP::CallOptions options;
    options.cancellation = m_cancellation = std::make_shared<HTTP::Cancellation>();
    options.connectDeadline = Core::Deadline::after(std::chrono::milliseconds(m_handler.m_settings.connectTimeoutMs));
    bool wasSent = false;
    options.guard = [this, &wasSent] {
        *m_isCallerGone = *m_isCallerGone || !m_writer.isClientConnected();
        return wasSent = !*m_isCallerGone;
    };
    Core::logEvent(Events::requestRelayed, "request=" + m_request.id + " peer=" + peer.text() + " service=" + m_service + " left_ms=" + std::to_string(m_deadline.remaining().count()));
    Reason reason;
    std::optional<std::unique_ptr<HTTP::ResponseStream>> stream
        = co_await m_handler.m_client->call(peer, m_handler.m_codec.encodeRelayed(m_request, m_deadline), m_deadline, std::move(options), reason);
    if (*m_isCallerGone) {
        logCompletion("caller_gone", "");
        co_return Outcome::Finished;
    }
    unsigned status = stream ? (*stream)->status() : 0;
    // With an endpoint's seal it is the endpoint's answer, not the peer's refusal.
    bool isSealed = stream && m_handler.m_codec.decodeResponseMetadata(status, (*stream)->headers()).isSealed;
    bool isNotRun = !isSealed && std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
    if (stream && !isNotRun) {
        m_handler.m_hooks.relayEnded(peer, true);
        m_possibleRuns = 1;
        co_await forwardFromPeer(peer, **stream);
        co_return Outcome::Finished;
    }
    if (isNotRun) {
        std::string body = (co_await (*stream)->readAll(maxRefusalBytes, m_deadline, reason)).value_or("");
        m_handler.m_hooks.relayEnded(peer, !refusesAll(body));
        m_lastFailure = "peer " + peer.text() + " refused with status " + std::to_string(status);
        refusal = HTTP::Response { status, m_handler.m_codec.callerHeaders((*stream)->headers()), std::move(body) };
    } else {
        m_handler.m_hooks.relayEnded(peer, false);
        m_lastFailure = reason.text();
    }
    Core::logEvent(Events::attemptFailed, "request=" + m_request.id + " peer=" + peer.text() + " sent=" + std::to_string(wasSent) + " not_run=" + std::to_string(isNotRun) + " reason=\"" + m_lastFailure + "\"");
    if (isNotRun || !wasSent)
        co_return Outcome::NotRun;
    m_possibleRuns = 1;
    co_await failRequest();
    co_return Outcome::Finished;
}

Core::Task<void> RequestExecution::forwardFromPeer(const Core::Address& peer, HTTP::ResponseStream& stream)
{
    Reason reason;
    std::string detail = "status=" + std::to_string(stream.status()) + " peer=" + peer.text();
    bool isSuccess = stream.status() / 100 == 2;
    bool isSealed = m_handler.m_codec.decodeResponseMetadata(stream.status(), stream.headers()).isSealed;
    // Only an endpoint's answer is a success, and a body that ends with its connection may be incomplete.
    if (isSuccess && (!isSealed || stream.endsWithConnection())) {
        m_lastFailure = "peer " + peer.text() + " sent a success without an endpoint's seal, or without a length";
        co_await failRequest();
        co_return;
    }
    if (isSuccess && m_route.isStream) {
        co_await forwardStreamFromPeer(stream, detail);
        co_return;
    }
    std::optional<std::string> body = co_await stream.readAll(maxRelayedResponseBytes, m_deadline, reason);
    if (!body) {
        m_lastFailure = reason.text();
        co_await failRequest();
        co_return;
    }
    m_firstByteMs = elapsedMs();
    HTTP::Response response { stream.status(), m_handler.m_codec.callerHeaders(stream.headers()), std::move(*body) };
    stream.reserve(0);
    bool isSent = co_await m_writer.send(std::move(response), reason);
    logCompletion(isSent ? "answered" : "caller_gone", detail);
}

Core::Task<void> RequestExecution::forwardStreamFromPeer(HTTP::ResponseStream& stream, const std::string& detail)
{
    EventStreamParser parser;
    Reason reason;
    m_lastFailure.clear();
    for (;;) {
        std::optional<std::string> chunk = co_await stream.readSome(m_deadline, reason);
        if (!chunk)
            m_lastFailure = reason.text();
        if (!chunk || chunk->empty())
            break;
        for (const StreamEvent& event : parser.feed(*chunk)) {
            ++m_events;
            if (!co_await forwardEvent(event, stream)) {
                logCompletion("caller_gone", detail);
                co_return;
            }
        }
        if (parser.isOversized() || !stream.reserve(parser.pendingBytes())) {
            m_lastFailure = "a peer sent an event that does not end, or the memory for responses is short";
            break;
        }
    }
    if (*m_isCallerGone) {
        logCompletion("caller_gone", detail);
        co_return;
    }
    if (!m_lastFailure.empty() || parser.hasIncompleteEvent() || !m_writer.hasStarted()) {
        if (m_lastFailure.empty())
            m_lastFailure = "a peer ended its stream within an event or before the first one";
        co_await failRequest();
        co_return;
    }
    bool isSent = co_await m_writer.finishStream(reason);
    logCompletion(isSent ? "answered" : "caller_gone", detail);
}

}
