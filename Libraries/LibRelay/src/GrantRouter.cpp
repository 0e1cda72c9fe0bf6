#include "LibRelay/GrantRouter.h"

#include "LibCore/Hash.h"

namespace Relay {

GrantRouter::GrantRouter(const boost::asio::any_io_executor& executor, const Platform::ObjectStore& store, Core::Address self, GrantRouterSettings settings)
    : m_self(std::move(self))
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

std::optional<Core::Address> GrantRouter::allocatorOf(const std::string& workspace) const
{
    // One daemon for all workspaces of a shard, so that one writes its object.
    uint64_t seed = shardOf(workspace) + 1;
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    const Core::Address* best = nullptr;
    uint64_t bestScore = 0;
    for (const Core::Address& daemon : m_daemons) {
        auto suspect = m_suspectUntil.find(daemon);
        uint64_t score = Core::hash64(daemon.text(), seed);
        if ((suspect != m_suspectUntil.end() && now < suspect->second) || (best && score <= bestScore))
            continue;
        best = &daemon;
        bestScore = score;
    }
    if (!best || *best == m_self)
        return std::nullopt;
    return *best;
}

void GrantRouter::suspect(const Core::Address& daemon)
{
    m_suspectUntil[daemon] = Core::SteadyClock::now() + std::chrono::milliseconds(m_settings.suspectMs);
}

Core::Task<std::optional<GrantState>> GrantRouter::submit(GrantChange change, bool isUrgent, Core::Deadline deadline, Core::Reason& reason)
{
    LedgerWriter& writer = *m_writers[shardOf(change.workspace)];
    co_return co_await writer.submit(std::move(change), isUrgent, deadline, reason);
}

uint64_t GrantRouter::writes() const
{
    uint64_t sum = 0;
    for (const std::unique_ptr<LedgerWriter>& writer : m_writers)
        sum += writer->writes();
    return sum;
}

}
