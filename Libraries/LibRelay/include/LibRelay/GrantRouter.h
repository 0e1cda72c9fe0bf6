#pragma once

#include "LibCore/Address.h"
#include "LibRelay/LedgerWriter.h"
#include <functional>

namespace Relay {

struct GrantRouterSettings {
    // Objects over which the workspaces' ledgers are spread. The same for all daemons.
    size_t shards { 4 };
    // Time for which a daemon that did not answer is passed over.
    int64_t suspectMs { 3'000 };
    LedgerWriterSettings writer;
};

// Names the daemon that allocates a workspace's tokens, so that the store sees few writes whatever the number of daemons.
// It is the first in rendezvous order of those that answer. Two allocators at a time cost calls, never tokens.
class GrantRouter {
public:
    GrantRouter(const boost::asio::any_io_executor&, const Platform::ObjectStore&, Core::Address self, GrantRouterSettings);

    void setPeers(std::vector<Core::Address>);
    // Daemons that are announced, this one included.
    size_t daemons() const { return m_daemons.size(); }

    // The daemon that allocates the workspace's tokens; empty for this one.
    std::optional<Core::Address> allocatorOf(const std::string& workspace) const;
    // The daemon did not answer.
    void suspect(const Core::Address&);

    // Changes this daemon's row in the store; see LedgerWriter::submit.
    Core::Task<std::optional<GrantState>> submit(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&);

    uint64_t writes() const;

private:
    size_t shardOf(const std::string& workspace) const;

    Core::Address m_self;
    GrantRouterSettings m_settings;
    std::vector<Core::Address> m_daemons;
    std::map<Core::Address, Core::SteadyClock::time_point> m_suspectUntil;
    std::vector<std::unique_ptr<LedgerWriter>> m_writers;
};

}
