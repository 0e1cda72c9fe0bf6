#include "Link.h"

#include "Events.h"

namespace Peer {

// Bounds the memory used for a slow reader: a link whose send queue exceeds this size is closed.
static constexpr size_t maxSendQueueBytes = 8 * 1024 * 1024;
// Bounds what is buffered of a message of an end that has not shown that it has the fleet's key.
static constexpr size_t maxHandshakeBytes = 16 * 1024;

Link::Link(std::shared_ptr<LinkContext> context, Role role, std::string peerName)
    : m_context(std::move(context))
    , m_role(role)
    , m_peerName(std::move(peerName))
    , m_handshakeDone(m_context->executor)
    , m_calls(m_context->executor)
    , m_createdAt(Core::SteadyClock::now())
    , m_lastReceived(m_createdAt)
    , m_lastUsed(m_createdAt)
{
}

ConnectionEvents Link::events()
{
    std::shared_ptr<Link> self = shared_from_this();
    return {
        [self] { self->handleOpened(); },
        [self](const std::string& bytes) { self->handleReceived(bytes); },
        [self](const std::string& reason) { self->handleClosed(reason); },
    };
}

void Link::attach(std::shared_ptr<Connection> connection)
{
    m_connection = std::move(connection);
}

Core::Task<bool> Link::waitForHandshake(Core::Deadline deadline)
{
    std::shared_ptr<Link> self = shared_from_this();
    while (m_stage == Stage::Connecting || m_stage == Stage::Handshaking) {
        if (!co_await m_handshakeDone.wait(deadline))
            co_return m_stage == Stage::Open || m_stage == Stage::Closed;
    }
    co_return true;
}

Core::Task<std::optional<std::string>> Link::call(std::string type, std::string body, Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<Link> self = shared_from_this();
    uint64_t id = ++m_lastCallId;
    std::string step = "call " + type;
    reason = { Core::FailureKind::Unavailable, step, m_peerName, "" };
    if (!sendChecked(Call { id, std::move(type), std::move(body), deadline.remaining().count() }, reason))
        co_return std::nullopt;
    Core::SteadyClock::time_point sentAt = m_lastUsed;
    std::optional<CallResult> result = co_await m_calls.wait(id, deadline);
    // If nothing was received during the call, the connection may be half-open: the peer is gone, but no reset arrived.
    // Later calls open a new link instead of waiting for TCP retransmissions.
    if (!result && m_lastReceived <= sentAt)
        m_isDraining = true;
    if (m_isDraining)
        drain();
    if (!result) {
        reason = { Core::FailureKind::TimedOut, step, m_peerName, "no answer before the deadline" };
        co_return std::nullopt;
    }
    if (result->kind == CallResult::Kind::Answered)
        co_return std::move(result->text);
    bool isRefused = result->kind == CallResult::Kind::Failed;
    reason = { isRefused ? Core::FailureKind::Refused : Core::FailureKind::OutcomeUnknown, step, m_peerName, result->text };
    co_return std::nullopt;
}

bool Link::notify(const std::string& type, const std::string& body, Core::Reason& reason)
{
    reason = { Core::FailureKind::Unavailable, "notify " + type, m_peerName, "" };
    return sendChecked(Notice { type, body }, reason);
}

void Link::drain()
{
    m_isDraining = true;
    if (m_calls.empty())
        close("the link is not used any more");
}

void Link::close(const std::string& reason)
{
    if (m_stage == Stage::Closed)
        return;
    if (m_closeReason.empty())
        m_closeReason = reason;
    std::shared_ptr<Connection> connection = m_connection;
    handleClosed(reason);
    if (connection)
        connection->close(reason);
}

bool Link::isIdleSince(Core::SteadyClock::time_point time) const
{
    return m_calls.empty() && m_runningCalls == 0 && m_lastUsed < time;
}

void Link::handleOpened()
{
    if (m_stage != Stage::Connecting)
        return;
    m_stage = Stage::Handshaking;
    if (m_connection)
        m_connection->limitMessages(maxHandshakeBytes);
    if (m_role == Role::Acceptor)
        return;
    m_openerHello = makeHello();
    send(m_openerHello);
}

void Link::handleClosed(const std::string& reason)
{
    if (m_stage == Stage::Closed)
        return;
    std::shared_ptr<Link> self = shared_from_this();
    // The WebSocket connection was never established, so the other end does not speak the link protocol.
    bool isUnknownProtocol = m_role == Role::Acceptor && m_stage == Stage::Connecting;
    m_stage = Stage::Closed;
    if (m_closeReason.empty())
        m_closeReason = reason;
    if (isUnknownProtocol) {
        ++m_context->counters.linksRefused;
        Core::logEvent(linkRefused, "link with " + m_peerName + ": " + m_closeReason);
    } else {
        Core::logEvent(linkClosed, "link with " + m_peerName + ": " + m_closeReason);
    }
    m_connection.reset();
    m_calls.failAll("link closed before the answer arrived: " + m_closeReason);
    m_handshakeDone.notifyAll();
    if (m_onClosed)
        std::exchange(m_onClosed, nullptr)(self);
}

bool Link::send(const Frame& frame)
{
    Core::Reason ignored;
    return sendChecked(frame, ignored);
}

bool Link::sendChecked(const Frame& frame, Core::Reason& reason)
{
    if (!m_connection) {
        reason.message = "link is closed: " + m_closeReason;
        return false;
    }
    std::string bytes = encodeFrame(frame);
    if (bytes.size() > maxFrameBytes) {
        reason.kind = Core::FailureKind::Invalid;
        reason.message = "frame of " + std::to_string(bytes.size()) + " bytes exceeds the limit of " + std::to_string(maxFrameBytes) + " bytes";
        return false;
    }
    m_lastUsed = Core::SteadyClock::now();
    // Pretends that the message was sent, since a sender does not detect a loss in a network partition either.
    if (m_context->isBlocked(m_peer.host))
        return true;
    if (m_connection->queuedBytes() > maxSendQueueBytes) {
        reason.message = "the peer does not read";
        Core::logEvent(peerNotReading, "link with " + m_peerName + ": more than " + std::to_string(maxSendQueueBytes) + " bytes queued");
        close(reason.message);
        return false;
    }
    if (!m_connection->send(bytes)) {
        reason.message = "connection is closing";
        return false;
    }
    ++m_context->counters.messagesSent;
    m_context->counters.bytesSent += bytes.size();
    return true;
}

}
