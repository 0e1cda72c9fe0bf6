#pragma once

#include "LibCore/Address.h"
#include "LibRelay/LedgerWriter.h"
#include "LibRelay/PeerTable.h"
#include <functional>

namespace Relay {

struct GrantRouterSettings {
    // Objects over which the workspaces' ledgers are spread. The same for all daemons.
    size_t shards { 4 };
    LedgerWriterSettings writer;
};

// Names the daemon that allocates a workspace's tokens, so that the store sees few writes whatever the number of daemons.
// It is the first in rendezvous order of those that answer. Two allocators at a time cost calls, never tokens.
class GrantRouter {
public:
    GrantRouter(const boost::asio::any_io_executor&, const Platform::ObjectStore&, PeerInfo self, GrantRouterSettings);

    // The daemons that may allocate.
    PeerTable& peers() { return m_peers; }

    // The daemon that allocates the workspace's tokens; empty for this one.
    std::optional<Core::Address> allocatorOf(const std::string& workspace) const;

    // Changes this daemon's row in the store; see LedgerWriter::submit.
    Core::Task<std::optional<GrantState>> submit(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&);

    // A request waits for a change of the workspace's row.
    void flush(const std::string& workspace) { m_writers[shardOf(workspace)]->flush(); }

    uint64_t writes() const;

private:
    size_t shardOf(const std::string& workspace) const;

    GrantRouterSettings m_settings;
    PeerTable m_peers;
    std::vector<std::unique_ptr<LedgerWriter>> m_writers;
};

}
