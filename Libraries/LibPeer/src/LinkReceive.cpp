#include "Events.h"
#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include "Link.h"

namespace Peer {

Hello Link::makeHello() const
{
    return { protocolVersion, m_context->settings.self, Core::randomIdentifier(), "" };
}

void Link::handleReceived(const std::string& bytes)
{
    std::shared_ptr<Link> self = shared_from_this();
    if (m_stage == Stage::Closed || m_context->isBlocked(m_peer.host))
        return;
    m_lastReceived = Core::SteadyClock::now();
    m_lastUsed = m_lastReceived;
    ++m_context->counters.messagesReceived;
    m_context->counters.bytesReceived += bytes.size();
    std::string message;
    std::optional<Frame> frame = decodeFrame(bytes, message);
    if (!frame) {
        rejectMalformedFrame(message);
        return;
    }
    // An exception that reaches the event loop would terminate the process.
    try {
        std::visit([this](auto& alternative) { handle(alternative); }, *frame);
    } catch (const std::exception& exception) {
        Core::logEvent(handlerFailed, "frame from " + m_peerName + ": " + exception.what());
    }
}

void Link::rejectMalformedFrame(const std::string& message)
{
    if (m_stage != Stage::Open) {
        refuse("malformed frame in the handshake: " + message);
        return;
    }
    Core::logEvent(malformedFrame, "link with " + m_peerName + ": " + message);
    close("malformed frame: " + message);
}

void Link::refuse(const std::string& message)
{
    ++m_context->counters.linksRefused;
    Core::logEvent(linkRefused, "link with " + m_peerName + ": " + message);
    send(Refusal { message });
    close(message);
}

bool Link::checkVersion(const Hello& hello)
{
    if (hello.version == protocolVersion)
        return true;
    refuse("protocol version " + std::to_string(hello.version) + " of the peer is not " + std::to_string(protocolVersion));
    return false;
}

bool Link::verifyProof(const std::string& proof)
{
    Role prover = m_role == Role::Opener ? Role::Acceptor : Role::Opener;
    std::string expected = computeProof(m_context->settings.key, prover, m_openerHello, m_acceptorHello);
    if (Core::constantTimeEqual(expected, proof))
        return true;
    refuse("the peer's proof of the shared key is wrong");
    return false;
}

void Link::completeHandshake()
{
    m_stage = Stage::Open;
    if (m_connection)
        m_connection->limitMessages(maxFrameBytes);
    m_handshakeDone.notifyAll();
}

void Link::handle(Hello& hello)
{
    if (m_stage != Stage::Handshaking || !m_peer.host.empty()) {
        rejectMalformedFrame("unexpected hello");
        return;
    }
    if (m_context->isBlocked(hello.identity.host))
        return;
    if (hello.identity.host.empty() || hello.nonce.size() < 16) {
        rejectMalformedFrame("the hello lacks a host or a nonce");
        return;
    }
    if (!checkVersion(hello))
        return;
    m_peer = hello.identity;
    if (m_role == Role::Acceptor) {
        m_openerHello = hello;
        m_acceptorHello = makeHello();
        m_acceptorHello.proof = computeProof(m_context->settings.key, Role::Acceptor, m_openerHello, m_acceptorHello);
        send(m_acceptorHello);
        return;
    }
    m_acceptorHello = hello;
    if (!verifyProof(hello.proof))
        return;
    m_peerName = hello.identity.host + " (" + m_peerName + ")";
    if (send(Proof { computeProof(m_context->settings.key, Role::Opener, m_openerHello, m_acceptorHello) }))
        completeHandshake();
}

void Link::handle(Proof& proof)
{
    if (m_stage != Stage::Handshaking || m_role != Role::Acceptor || m_peer.host.empty()) {
        rejectMalformedFrame("unexpected proof");
        return;
    }
    if (!verifyProof(proof.proof))
        return;
    m_peerName = m_peer.host + " (" + m_peerName + ")";
    completeHandshake();
}

void Link::handle(Refusal& refusal)
{
    close("refused by the peer: " + refusal.message.substr(0, 200));
}

void Link::handle(Call& call)
{
    if (m_stage != Stage::Open || m_role != Role::Acceptor) {
        rejectMalformedFrame("unexpected call");
        return;
    }
    std::string name = "peer call " + call.type;
    Core::spawn(m_context->executor, std::move(name), answerCall(std::move(call)));
}

void Link::handle(Notice& notice)
{
    if (m_stage != Stage::Open || m_role != Role::Acceptor) {
        rejectMalformedFrame("unexpected notice");
        return;
    }
    auto position = m_context->noticeHandlers.find(notice.type);
    if (position != m_context->noticeHandlers.end())
        position->second(m_peer, std::move(notice.body));
}

void Link::handle(Answer& answer)
{
    if (m_stage != Stage::Open || m_role != Role::Opener) {
        rejectMalformedFrame("unexpected answer");
        return;
    }
    if (!m_calls.complete(answer.id, { CallResult::Kind::Answered, std::move(answer.body) }))
        Core::logEvent(lateAnswer, "call " + std::to_string(answer.id) + " on the link with " + m_peerName);
}

void Link::handle(Failure& failure)
{
    if (m_stage != Stage::Open || m_role != Role::Opener) {
        rejectMalformedFrame("unexpected failure");
        return;
    }
    if (!m_calls.complete(failure.id, { CallResult::Kind::Failed, std::move(failure.message) }))
        Core::logEvent(lateAnswer, "call " + std::to_string(failure.id) + " on the link with " + m_peerName);
}

// Runs in a task of its own and holds a reference to the link until the answer is queued.
Core::Task<void> Link::answerCall(Call call)
{
    std::shared_ptr<Link> self = shared_from_this();
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(std::min<int64_t>(call.remainingMs, maxCallMs)));
    uint64_t id = call.id;
    ++m_runningCalls;
    Frame frame = co_await runHandler(call);
    --m_runningCalls;
    // The caller has already timed out, or the link is closed.
    if (deadline.hasPassed() || m_stage != Stage::Open)
        co_return;
    Core::Reason reason;
    if (!sendChecked(frame, reason) && reason.kind == Core::FailureKind::Invalid)
        send(Failure { id, reason.message });
}

Core::Task<Frame> Link::runHandler(Call& call)
{
    auto position = m_context->callHandlers.find(call.type);
    if (position == m_context->callHandlers.end())
        co_return Failure { call.id, "the peer knows no call of this type" };
    // Copied because the map of handlers may change while the handler is suspended.
    Network::CallHandler handler = position->second;
    Core::Reason reason;
    try {
        std::optional<std::string> body = co_await handler(m_peer, std::move(call.body), reason);
        if (body)
            co_return Answer { call.id, std::move(*body) };
    } catch (const std::exception& exception) {
        Core::logEvent(handlerFailed, "call " + call.type + " from " + m_peerName + ": " + exception.what());
        reason.message = "the peer's handler failed";
    }
    co_return Failure { call.id, reason.message.substr(0, 1000) };
}

}
