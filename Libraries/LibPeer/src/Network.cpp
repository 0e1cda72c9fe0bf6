#include "LibPeer/Network.h"

#include "Link.h"

namespace Peer {

static constexpr std::chrono::seconds idleLimit(60);
// The acceptor closes later than the opener, so that it does not close a link on which a call is just being sent.
static constexpr std::chrono::seconds acceptorIdleLimit(180);
static constexpr std::chrono::seconds sweepInterval(1);
static constexpr std::chrono::seconds handshakeLimit(2);
static constexpr std::chrono::seconds noticeLimit(5);

struct Network::State : public std::enable_shared_from_this<State> {
    State(const boost::asio::any_io_executor& executor, Settings settings)
        : shared(std::make_shared<Shared>(Shared { executor, std::move(settings), {}, {}, {}, {} }))
        , sweepTimer(executor)
    {
    }

    std::shared_ptr<Shared> shared;
    std::shared_ptr<Transport> transport;
    std::map<Core::Address, std::shared_ptr<Link>> outgoing;
    std::set<std::shared_ptr<Link>> all;
    boost::asio::steady_timer sweepTimer;
    bool isSweeping { false };
    bool isClosed { false };

    bool prepare(Core::Reason&);
    std::shared_ptr<Link> linkTo(const Core::Address&, Core::Reason&);
    ConnectionEvents acceptLink(std::shared_ptr<Connection>);
    void track(const std::shared_ptr<Link>&);
    void forget(const std::shared_ptr<Link>&);
    void sweepLater();
    void sweep();
    void close();

    // Returns an open link, or nullptr with kind Unavailable.
    static Core::Task<std::shared_ptr<Link>> openLink(std::shared_ptr<State>, Core::Address, Core::Deadline, Core::Reason&);
    static Core::Task<std::optional<std::string>> call(std::shared_ptr<State>, Core::Address, std::string type, std::string body, Core::Deadline, Core::Reason&);
    static Core::Task<void> notify(std::shared_ptr<State>, Core::Address, std::string type, std::string body);
};

// Creates the transport at its first use; false when its settings are wrong.
bool Network::State::prepare(Core::Reason& reason)
{
    if (transport)
        return true;
    const Settings& settings = shared->settings;
    bool usesTls = !settings.certificateFile.empty() || !settings.privateKeyFile.empty() || !settings.authorityFile.empty();
    transport = usesTls ? createTlsTransport(shared->executor, settings, reason) : createPlainTransport(shared->executor);
    return transport != nullptr;
}

void Network::State::track(const std::shared_ptr<Link>& link)
{
    std::weak_ptr<State> weak = weak_from_this();
    all.insert(link);
    link->onClosed([weak](const std::shared_ptr<Link>& closed) {
        if (std::shared_ptr<State> state = weak.lock())
            state->forget(closed);
    });
    sweepLater();
}

void Network::State::forget(const std::shared_ptr<Link>& link)
{
    std::erase_if(outgoing, [&link](const auto& entry) { return entry.second == link; });
    all.erase(link);
}

std::shared_ptr<Link> Network::State::linkTo(const Core::Address& address, Core::Reason& reason)
{
    auto position = outgoing.find(address);
    if (position != outgoing.end() && !position->second->isRetired())
        return position->second;
    if (isClosed) {
        reason = { Core::FailureKind::Unavailable, "open link", address.text(), "the network is closed" };
        return nullptr;
    }
    if (!prepare(reason))
        return nullptr;
    std::shared_ptr<Link> link = std::make_shared<Link>(shared, Role::Opener, address.text());
    std::shared_ptr<Connection> connection = transport->connect(address, link->events(), reason);
    if (!connection)
        return nullptr;
    link->attach(std::move(connection));
    outgoing[address] = link;
    track(link);
    return link;
}

ConnectionEvents Network::State::acceptLink(std::shared_ptr<Connection> connection)
{
    std::shared_ptr<Link> link = std::make_shared<Link>(shared, Role::Acceptor, connection->remoteName());
    link->attach(std::move(connection));
    track(link);
    return link->events();
}

void Network::State::sweepLater()
{
    if (isSweeping || isClosed)
        return;
    isSweeping = true;
    std::weak_ptr<State> weak = weak_from_this();
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([weak](const boost::system::error_code& error) {
        std::shared_ptr<State> state = weak.lock();
        if (error || !state)
            return;
        state->isSweeping = false;
        state->sweep();
    });
}

void Network::State::sweep()
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    std::set<std::shared_ptr<Link>> links = all;
    for (const std::shared_ptr<Link>& link : links) {
        if (link->stage() != Link::Stage::Open && now - link->createdAt() > handshakeLimit)
            link->close("the handshake took too long");
        else if (link->isIdleSince(now - (link->role() == Role::Opener ? idleLimit : acceptorIdleLimit)))
            link->close("the link is idle");
    }
    if (!all.empty())
        sweepLater();
}

void Network::State::close()
{
    isClosed = true;
    sweepTimer.cancel();
    if (transport)
        transport->stopListening();
    std::set<std::shared_ptr<Link>> links = all;
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
    if (!m_state->prepare(reason))
        return std::nullopt;
    std::weak_ptr<State> weak = m_state;
    Transport::AcceptHook accept = [weak](std::shared_ptr<Connection> connection) {
        std::shared_ptr<State> state = weak.lock();
        if (!state || state->isClosed)
            return ConnectionEvents { [] {}, [](const std::string&) {}, [](const std::string&) {} };
        return state->acceptLink(std::move(connection));
    };
    return m_state->transport->listen(m_state->shared->settings.listenAddress, std::move(accept), reason);
}

void Network::onCall(const std::string& type, CallHandler handler)
{
    m_state->shared->callHandlers[type] = std::move(handler);
}

void Network::onNotice(const std::string& type, NoticeHandler handler)
{
    m_state->shared->noticeHandlers[type] = std::move(handler);
}

Core::Task<std::shared_ptr<Link>> Network::State::openLink(std::shared_ptr<State> state, Core::Address address, Core::Deadline deadline, Core::Reason& reason)
{
    while (true) {
        std::shared_ptr<Link> link = state->linkTo(address, reason);
        if (!link || link->stage() == Link::Stage::Open)
            co_return link;
        bool isDecided = co_await link->waitForHandshake(deadline);
        if (isDecided && link->stage() == Link::Stage::Open)
            co_return link;
        reason = { Core::FailureKind::Unavailable, "open link", address.text(), link->closeReason() };
        if (!isDecided)
            reason.message = "no handshake before the deadline";
        // A peer that stays silent may be cut off for a moment; one that refuses answers the same again.
        bool wasSilent = isDecided && Core::SteadyClock::now() - link->createdAt() > handshakeLimit;
        if (!wasSilent || deadline.hasPassed())
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
    std::shared_ptr<Link> link = co_await openLink(state, address, Core::Deadline::after(noticeLimit), reason);
    if (link)
        link->notify(type, body, reason);
}

Core::Task<std::optional<std::string>> Network::call(Core::Address address, std::string type, std::string body, Core::Deadline deadline, Core::Reason& reason)
{
    return State::call(m_state, std::move(address), std::move(type), std::move(body), deadline, reason);
}

void Network::notify(const Core::Address& address, const std::string& type, std::string body)
{
    Core::spawn(m_state->shared->executor, "notice " + type, State::notify(m_state, address, type, std::move(body)));
}

void Network::setBlockedHosts(std::vector<std::string> hosts)
{
    m_state->shared->blockedHosts = std::set<std::string>(hosts.begin(), hosts.end());
}

Counters Network::counters() const
{
    return m_state->shared->counters;
}

void Network::close()
{
    if (!m_state->isClosed)
        m_state->close();
}

}
