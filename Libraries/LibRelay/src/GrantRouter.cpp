#include "LibRelay/GrantRouter.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;

// Time that a change for another daemon may take here, including the gathering.
static constexpr std::chrono::milliseconds serviceTime(1'200);
// Writers that one change is offered to before it goes to the store from here.
static constexpr int writerTries = 2;

GrantRouter::GrantRouter(
    const boost::asio::any_io_executor& executor, Platform::ObjectStore store, Core::Address self, CallPeer callPeer, GrantRouterSettings settings)
    : m_self(std::move(self))
    , m_callPeer(std::move(callPeer))
    , m_settings(settings)
    , m_daemons({ m_self })
{
    for (size_t shard = 0; shard < m_settings.shards; ++shard)
        m_writers.push_back(std::make_unique<LedgerWriter>(executor, store, "relay-ledgers/shard-" + std::to_string(shard), m_settings.writer));
}

void GrantRouter::setPeers(std::vector<Core::Address> peers)
{
    m_daemons = std::move(peers);
    m_daemons.push_back(m_self);
}

size_t GrantRouter::shardOf(const std::string& workspace) const
{
    return Core::hash64(workspace) % m_writers.size();
}

std::optional<Core::Address> GrantRouter::writerOf(size_t shard) const
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    const Core::Address* best = nullptr;
    uint64_t bestScore = 0;
    for (const Core::Address& daemon : m_daemons) {
        auto suspect = m_suspectUntil.find(daemon);
        uint64_t score = Core::hash64(daemon.text(), shard + 1);
        if ((suspect != m_suspectUntil.end() && now < suspect->second) || (best && score <= bestScore))
            continue;
        best = &daemon;
        bestScore = score;
    }
    if (!best || *best == m_self)
        return std::nullopt;
    return *best;
}

Core::Task<std::optional<GrantState>> GrantRouter::submit(GrantChange change, bool isUrgent, Deadline deadline, Reason& reason)
{
    size_t shard = shardOf(change.workspace);
    bool mayBeWritten = false;
    for (int tries = 0; tries < writerTries && !deadline.hasPassed(); ++tries) {
        std::optional<Core::Address> writer = writerOf(shard);
        if (!writer)
            break;
        std::string body = (isUrgent ? "u" : "g") + encodeChange(change);
        std::chrono::milliseconds limit(m_settings.peerTimeoutMs + (isUrgent ? 0 : m_settings.writer.gatherMs));
        std::optional<std::string> answer = co_await m_callPeer(*writer, std::move(body), std::min(deadline, Deadline::after(limit)), reason);
        if (answer)
            co_return decodeState(*answer, reason);
        // Whatever that daemon does with the change later, it takes effect once.
        mayBeWritten = mayBeWritten || reason.kind != FailureKind::Unavailable;
        m_suspectUntil[*writer] = Core::SteadyClock::now() + std::chrono::milliseconds(m_settings.suspectMs);
    }
    std::optional<GrantState> state = co_await m_writers[shard]->submit(std::move(change), isUrgent, deadline, reason);
    if (!state && mayBeWritten)
        reason.kind = FailureKind::OutcomeUnknown;
    co_return state;
}

Core::Task<std::optional<std::string>> GrantRouter::serve(std::string body, Reason& reason)
{
    bool isUrgent = body.starts_with('u');
    std::optional<GrantChange> change = decodeChange(body.empty() ? body : body.substr(1), reason);
    if (!change)
        co_return std::nullopt;
    size_t shard = shardOf(change->workspace);
    std::optional<GrantState> state = co_await m_writers[shard]->submit(std::move(*change), isUrgent, Deadline::after(serviceTime), reason);
    if (!state)
        co_return std::nullopt;
    co_return encodeState(*state);
}

uint64_t GrantRouter::writes() const
{
    uint64_t sum = 0;
    for (const std::unique_ptr<LedgerWriter>& writer : m_writers)
        sum += writer->writes();
    return sum;
}

}
