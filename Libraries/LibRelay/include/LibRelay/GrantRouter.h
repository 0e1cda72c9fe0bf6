#pragma once

#include "LibCore/Address.h"
#include "LibRelay/LedgerWriter.h"
#include "LibRelay/PeerTable.h"
#include <functional>

namespace Relay {

struct GrantRouterSettings {
    // Number of store objects over which the workspaces' ledgers are sharded. Must be the same for all daemons.
    size_t shards { 4 };
    LedgerWriterSettings writer;
};

// Selects the daemon that allocates a workspace's tokens, so that the store receives few writes regardless of the number of
// daemons. The allocator is the first responsive daemon in rendezvous order. Two concurrent allocators cause extra
// calls but never grant tokens twice.
class GrantRouter {
public:
    GrantRouter(const boost::asio::any_io_executor&, const Platform::ObjectStore&, PeerInfo self, GrantRouterSettings);

    // The daemons that may act as allocator.
    PeerTable& peers() { return m_peers; }

    // The daemon that allocates the workspace's tokens; empty if it is this one.
    std::optional<Core::Address> allocatorOf(const std::string& workspace) const;

    // Applies a change to this daemon's row in the store; see LedgerWriter::submit.
    Core::Task<std::optional<GrantState>> submit(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&);

    // Must be called before the first change; see LedgerWriter::start.
    void start(const std::string& host, const std::function<std::set<std::string>()>& announcedHosts);
    // Rebuilds the ledgers if the store was restored from an older copy.
    void rebuild();

    // Writes pending changes of the workspace's shard without waiting for the end of the batch window.
    void flush(const std::string& workspace) { m_writers[shardOf(workspace)]->flush(); }

    uint64_t writes() const;

private:
    size_t shardOf(const std::string& workspace) const;

    GrantRouterSettings m_settings;
    PeerTable m_peers;
    std::vector<std::unique_ptr<LedgerWriter>> m_writers;
};

}
