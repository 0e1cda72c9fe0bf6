#include "LibRelay/GrantRouter.h"

#include "LibCore/Hash.h"

namespace Relay {

GrantRouter::GrantRouter(const boost::asio::any_io_executor& executor, const Platform::ObjectStore& store, PeerInfo self, GrantRouterSettings settings)
    : m_settings(settings)
    , m_peers(std::move(self))
{
    for (size_t shard = 0; shard < m_settings.shards; ++shard)
        m_writers.push_back(std::make_unique<LedgerWriter>(executor, store, "relay-ledgers/shard-" + std::to_string(shard), m_settings.writer));
}

size_t GrantRouter::shardOf(const std::string& workspace) const
{
    return Core::hash64(workspace) % m_writers.size();
}

std::optional<Core::Address> GrantRouter::allocatorOf(const std::string& workspace) const
{
    // All workspaces of a shard have the same allocator, so that one daemon writes the shard's object.
    return m_peers.assigneeOf(shardOf(workspace) + 1);
}

Core::Task<std::optional<GrantState>> GrantRouter::submit(GrantChange change, bool isUrgent, Core::Deadline deadline, Core::Reason& reason)
{
    LedgerWriter& writer = *m_writers[shardOf(change.workspace)];
    co_return co_await writer.submit(std::move(change), isUrgent, deadline, reason);
}

void GrantRouter::start(const std::string& host, const std::function<std::set<std::string>()>& announcedHosts)
{
    for (const std::unique_ptr<LedgerWriter>& writer : m_writers)
        writer->start(host, announcedHosts);
}

void GrantRouter::rebuild()
{
    for (const std::unique_ptr<LedgerWriter>& writer : m_writers)
        writer->rebuild();
}

uint64_t GrantRouter::writes() const
{
    uint64_t sum = 0;
    for (const std::unique_ptr<LedgerWriter>& writer : m_writers)
        sum += writer->writes();
    return sum;
}

}
