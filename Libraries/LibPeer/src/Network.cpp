#include "LibPeer/Network.h"

#include "Link.h"

namespace Peer {

static constexpr std::chrono::seconds openerIdleTimeout(60);
// Longer than the opener's timeout, so that the acceptor does not close a link on which a call is just being sent.
static constexpr std::chrono::seconds acceptorIdleTimeout(180);
static constexpr std::chrono::seconds sweepInterval(1);
static constexpr std::chrono::seconds handshakeTimeout(2);
static constexpr std::chrono::seconds noticeTimeout(5);

struct Network::State : public std::enable_shared_from_this<State> {
    State(const boost::asio::any_io_executor& executor, Settings settings)
        : context(std::make_shared<LinkContext>(LinkContext { executor, std::move(settings), {}, {}, {}, {} }))
        , sweepTimer(executor)
    {
    }

    std::shared_ptr<LinkContext> context;
    std::shared_ptr<Transport> transport;
    std::map<Core::Address, std::shared_ptr<Link>> outgoingLinks;
    std::set<std::shared_ptr<Link>> allLinks;
    boost::asio::steady_timer sweepTimer;
    bool isSweepScheduled { false };
    bool isClosed { false };

    bool createTransport(Core::Reason&);
    std::shared_ptr<Link> findOrCreateLink(const Core::Address&, Core::Reason&);
    ConnectionEvents acceptLink(std::shared_ptr<Connection>);
    void track(const std::shared_ptr<Link>&);
    void untrack(const std::shared_ptr<Link>&);
    void scheduleSweep();
    void closeExpiredLinks();
    void close();

    // Returns an open link, or nullptr if none could be opened.
    static Core::Task<std::shared_ptr<Link>> openLink(std::shared_ptr<State>, Core::Address, Core::Deadline, Core::Reason&);
    static Core::Task<std::optional<std::string>> call(std::shared_ptr<State>, Core::Address, std::string type, std::string body, Core::Deadline, Core::Reason&);
    static Core::Task<void> notify(std::shared_ptr<State>, Core::Address, std::string type, std::string body);
};

// Creates the transport on first use. Returns false if the settings are invalid.
bool Network::State::createTransport(Core::Reason& reason)
{
    if (transport)
        return true;
    const Settings& settings = context->settings;
    bool usesTls = !settings.certificateFile.empty() || !settings.privateKeyFile.empty() || !settings.authorityFile.empty();
    transport = usesTls ? createTlsTransport(context->executor, settings, reason) : createPlainTransport(context->executor);
    return transport != nullptr;
}

void Network::State::track(const std::shared_ptr<Link>& link)
{
    std::weak_ptr<State> weak = weak_from_this();
    allLinks.insert(link);
    link->onClosed([weak](const std::shared_ptr<Link>& closed) {
        if (std::shared_ptr<State> state = weak.lock())
            state->untrack(closed);
    });
    scheduleSweep();
}

void Network::State::untrack(const std::shared_ptr<Link>& link)
{
    std::erase_if(outgoingLinks, [&link](const auto& entry) { return entry.second == link; });
    allLinks.erase(link);
}

std::shared_ptr<Link> Network::State::findOrCreateLink(const Core::Address& address, Core::Reason& reason)
{
    auto position = outgoingLinks.find(address);
    if (position != outgoingLinks.end() && !position->second->isDraining())
        return position->second;
    if (isClosed) {
        reason = { Core::FailureKind::Unavailable, "open link", address.text(), "peer network is closed" };
        return nullptr;
    }
    if (!createTransport(reason))
        return nullptr;
    std::shared_ptr<Link> link = std::make_shared<Link>(context, Role::Opener, address.text());
    std::shared_ptr<Connection> connection = transport->connect(address, link->events(), reason);
    if (!connection)
        return nullptr;
    link->attach(std::move(connection));
    outgoingLinks[address] = link;
    track(link);
    return link;
}

ConnectionEvents Network::State::acceptLink(std::shared_ptr<Connection> connection)
{
    std::shared_ptr<Link> link = std::make_shared<Link>(context, Role::Acceptor, connection->remoteName());
    link->attach(std::move(connection));
    track(link);
    return link->events();
}

void Network::State::scheduleSweep()
{
    if (isSweepScheduled || isClosed)
        return;
    isSweepScheduled = true;
    std::weak_ptr<State> weak = weak_from_this();
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([weak](const boost::system::error_code& error) {
        std::shared_ptr<State> state = weak.lock();
        if (error || !state)
            return;
        state->isSweepScheduled = false;
        state->closeExpiredLinks();
    });
}

void Network::State::closeExpiredLinks()
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    std::set<std::shared_ptr<Link>> links = allLinks;
    for (const std::shared_ptr<Link>& link : links) {
        if (link->stage() != Link::Stage::Open && now - link->createdAt() > handshakeTimeout)
            link->close("the handshake took too long");
        else if (link->isIdleSince(now - (link->role() == Role::Opener ? openerIdleTimeout : acceptorIdleTimeout)))
            link->close("the link is idle");
    }
    if (!allLinks.empty())
        scheduleSweep();
}

void Network::State::close()
{
    isClosed = true;
    sweepTimer.cancel();
    if (transport)
        transport->stopListening();
    std::set<std::shared_ptr<Link>> links = allLinks;
    for (const std::shared_ptr<Link>& link : links)
        link->close("the daemon stops");
}

Network::Network(const boost::asio::any_io_executor& executor, Settings settings)
    : m_state(std::make_shared<State>(executor, std::move(settings)))
{
}

Network::~Network()
{
    close();
}

std::optional<Core::Address> Network::listen(Core::Reason& reason)
{
    if (!m_state->createTransport(reason))
        return std::nullopt;
    std::weak_ptr<State> weak = m_state;
    Transport::AcceptHook accept = [weak](std::shared_ptr<Connection> connection) {
        std::shared_ptr<State> state = weak.lock();
        if (!state || state->isClosed)
            return ConnectionEvents { [] {}, [](const std::string&) {}, [](const std::string&) {} };
        return state->acceptLink(std::move(connection));
    };
    return m_state->transport->listen(m_state->context->settings.listenAddress, std::move(accept), reason);
}

void Network::onCall(const std::string& type, CallHandler handler)
{
    m_state->context->callHandlers[type] = std::move(handler);
}

void Network::onNotice(const std::string& type, NoticeHandler handler)
{
    m_state->context->noticeHandlers[type] = std::move(handler);
}

Core::Task<std::shared_ptr<Link>> Network::State::openLink(std::shared_ptr<State> state, Core::Address address, Core::Deadline deadline, Core::Reason& reason)
{
    while (true) {
        std::shared_ptr<Link> link = state->findOrCreateLink(address, reason);
        if (!link || link->stage() == Link::Stage::Open)
            co_return link;
        bool isHandshakeFinished = co_await link->waitForHandshake(deadline);
        if (isHandshakeFinished && link->stage() == Link::Stage::Open)
            co_return link;
        reason = { Core::FailureKind::Unavailable, "open link", address.text(), link->closeReason() };
        if (!isHandshakeFinished)
            reason.message = "handshake not completed before the deadline";
        // Retries only after a handshake timeout, which can come from a short network partition. A refusal is final.
        bool hasTimedOut = isHandshakeFinished && Core::SteadyClock::now() - link->createdAt() > handshakeTimeout;
        if (!hasTimedOut || deadline.hasPassed())
            co_return nullptr;
    }
}

Core::Task<std::optional<std::string>> Network::State::call(std::shared_ptr<State> state, Core::Address address, std::string type, std::string body, Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<Link> link = co_await openLink(state, address, deadline, reason);
    if (!link)
        co_return std::nullopt;
    co_return co_await link->call(std::move(type), std::move(body), deadline, reason);
}

Core::Task<void> Network::State::notify(std::shared_ptr<State> state, Core::Address address, std::string type, std::string body)
{
    Core::Reason reason;
    std::shared_ptr<Link> link = co_await openLink(state, address, Core::Deadline::after(noticeTimeout), reason);
    if (link)
        link->notify(type, body, reason);
}

Core::Task<std::optional<std::string>> Network::call(Core::Address address, std::string type, std::string body, Core::Deadline deadline, Core::Reason& reason)
{
    return State::call(m_state, std::move(address), std::move(type), std::move(body), deadline, reason);
}

void Network::notify(const Core::Address& address, const std::string& type, std::string body)
{
    Core::spawn(m_state->context->executor, "notice " + type, State::notify(m_state, address, type, std::move(body)));
}

void Network::setBlockedHosts(std::vector<std::string> hosts)
{
    m_state->context->blockedHosts = std::set<std::string>(hosts.begin(), hosts.end());
}

Counters Network::counters() const
{
    return m_state->context->counters;
}

void Network::close()
{
    if (!m_state->isClosed)
        m_state->close();
}

}
