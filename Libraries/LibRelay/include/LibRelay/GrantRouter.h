#pragma once

#include "LibCore/Address.h"
#include "LibRelay/LedgerWriter.h"
#include <functional>

namespace Relay {

struct GrantRouterSettings {
    // Objects over which the workspaces' ledgers are spread. The same for all daemons.
    size_t shards { 2 };
    // Time for another daemon to answer.
    int64_t peerTimeoutMs { 250 };
    // Time for which a daemon that did not answer is passed over.
    int64_t suspectMs { 3'000 };
    LedgerWriterSettings writer;
};

using CallPeer = std::function<Core::Task<std::optional<std::string>>(Core::Address, std::string body, Core::Deadline, Core::Reason&)>;

// Sends each change to the daemon that writes its shard, so that the store sees few writes whatever the number of
// daemons. That daemon is the first of those that answer in rendezvous order; where it does not answer, the change goes to
// the store from here. Two writers at a time cost calls, never tokens.
class GrantRouter {
public:
    GrantRouter(const boost::asio::any_io_executor&, Platform::ObjectStore, Core::Address self, CallPeer, GrantRouterSettings);

    void setPeers(std::vector<Core::Address>);

    // As LedgerWriter::submit.
    Core::Task<std::optional<GrantState>> submit(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&);

    // Applies a change for another daemon.
    Core::Task<std::optional<std::string>> serve(std::string body, Core::Reason&);

    uint64_t writes() const;

private:
    size_t shardOf(const std::string& workspace) const;
    // The daemon that writes the shard; empty for this one.
    std::optional<Core::Address> writerOf(size_t shard) const;

    Core::Address m_self;
    CallPeer m_callPeer;
    GrantRouterSettings m_settings;
    std::vector<Core::Address> m_daemons;
    std::map<Core::Address, Core::SteadyClock::time_point> m_suspectUntil;
    std::vector<std::unique_ptr<LedgerWriter>> m_writers;
};

}
