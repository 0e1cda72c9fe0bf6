#pragma once

#include "Handshake.h"
#include "PendingCalls.h"
#include "Shared.h"
#include "Transport.h"

namespace Peer {

// One connection to another daemon: the handshake, then calls and notices of the opener and answers of the acceptor.
class Link : public std::enable_shared_from_this<Link> {
public:
    enum class Stage {
        Connecting,
        Handshaking,
        Open,
        Closed,
    };

    // The peer's name for messages is its address until the handshake has shown its host.
    Link(std::shared_ptr<Shared>, Role, std::string peerName);

    // The events to be passed to the transport; they keep the link alive until it is closed.
    ConnectionEvents events();
    void attach(std::shared_ptr<Connection>);

    // Called once when the link is closed.
    void onClosed(std::function<void(const std::shared_ptr<Link>&)> hook) { m_onClosed = std::move(hook); }

    Role role() const { return m_role; }
    Stage stage() const { return m_stage; }
    const std::string& closeReason() const { return m_closeReason; }

    // Waits until the link is open or closed; false when the deadline passed first.
    Core::Task<bool> waitForHandshake(Core::Deadline);

    Core::Task<std::optional<std::string>> call(std::string type, std::string body, Core::Deadline, Core::Reason&);
    bool notify(const std::string& type, const std::string& body, Core::Reason&);

    // Closes the link once no call waits on it. A new call must use another link.
    void retire();
    bool isRetired() const { return m_isRetired; }

    void close(const std::string& reason);

    // True when nothing has been sent or received since the time and no call waits or runs.
    bool isIdleSince(Core::SteadyClock::time_point) const;
    Core::SteadyClock::time_point createdAt() const { return m_createdAt; }

private:
    void handleOpened();
    void handleReceived(const std::string& bytes);
    void handleClosed(const std::string& reason);

    void handle(Hello&);
    void handle(Proof&);
    void handle(Refusal&);
    void handle(Call&);
    void handle(Notice&);
    void handle(Answer&);
    void handle(Failure&);

    Hello ownHello() const;
    bool acceptsVersion(const Hello&);
    bool acceptsProof(const std::string& proof);
    void refuse(const std::string& message);
    void becomeOpen();
    void failMalformed(const std::string& message);
    bool send(const Frame&);
    bool sendChecked(const Frame&, Core::Reason&);
    Core::Task<void> answer(Call);
    Core::Task<Frame> runHandler(Call&);

    std::shared_ptr<Shared> m_shared;
    Role m_role;
    std::string m_peerName;
    Identity m_peer;
    std::shared_ptr<Connection> m_connection;
    Stage m_stage { Stage::Connecting };
    bool m_isRetired { false };
    std::string m_closeReason;
    std::function<void(const std::shared_ptr<Link>&)> m_onClosed;
    Hello m_openerHello;
    Hello m_acceptorHello;
    Core::Signal m_handshakeDone;
    PendingCalls m_calls;
    uint64_t m_lastCallId { 0 };
    // Calls of the peer whose handlers run.
    size_t m_runningCalls { 0 };
    Core::SteadyClock::time_point m_createdAt;
    Core::SteadyClock::time_point m_lastReceived;
    Core::SteadyClock::time_point m_lastUsed;
};

}
