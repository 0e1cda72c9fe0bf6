#pragma once

#include "Handshake.h"
#include "LinkContext.h"
#include "PendingCalls.h"
#include "Transport.h"

namespace Peer {

// A connection to another daemon. After the handshake, the opener sends calls and notices; the acceptor answers.
class Link : public std::enable_shared_from_this<Link> {
public:
    enum class Stage {
        Connecting,
        Handshaking,
        Open,
        Closed,
    };

    // The peer name is used in log lines and errors. The handshake prepends the authenticated host to it.
    Link(std::shared_ptr<LinkContext>, Role, std::string peerName);

    // Returns the event handlers to pass to the transport. They hold a reference to the link.
    ConnectionEvents events();
    void attach(std::shared_ptr<Connection>);

    // Called once when the link is closed.
    void onClosed(std::function<void(const std::shared_ptr<Link>&)> hook) { m_onClosed = std::move(hook); }

    Role role() const { return m_role; }
    Stage stage() const { return m_stage; }
    const std::string& closeReason() const { return m_closeReason; }

    // Waits until the link is open or closed. Returns false if the deadline passes first.
    Core::Task<bool> waitForHandshake(Core::Deadline);

    Core::Task<std::optional<std::string>> call(std::string type, std::string body, Core::Deadline, Core::Reason&);
    bool notify(const std::string& type, const std::string& body, Core::Reason&);

    // Closes the link when no more calls are pending. New calls must use another link.
    void drain();
    bool isDraining() const { return m_isDraining; }

    void close(const std::string& reason);

    // Returns true if nothing was sent or received since the given time and no call is pending or running.
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

    Hello makeHello() const;
    bool checkVersion(const Hello&);
    bool verifyProof(const std::string& proof);
    void refuse(const std::string& message);
    void completeHandshake();
    void rejectMalformedFrame(const std::string& message);
    bool send(const Frame&);
    bool sendChecked(const Frame&, Core::Reason&);
    Core::Task<void> answerCall(Call);
    Core::Task<Frame> runHandler(Call&);

    std::shared_ptr<LinkContext> m_context;
    Role m_role;
    std::string m_peerName;
    Identity m_peer;
    std::shared_ptr<Connection> m_connection;
    Stage m_stage { Stage::Connecting };
    bool m_isDraining { false };
    std::string m_closeReason;
    std::function<void(const std::shared_ptr<Link>&)> m_onClosed;
    Hello m_openerHello;
    Hello m_acceptorHello;
    Core::Signal m_handshakeDone;
    PendingCalls m_calls;
    uint64_t m_lastCallId { 0 };
    // Number of the peer's calls whose handlers are running.
    size_t m_runningCalls { 0 };
    Core::SteadyClock::time_point m_createdAt;
    Core::SteadyClock::time_point m_lastReceived;
    Core::SteadyClock::time_point m_lastUsed;
};

}
