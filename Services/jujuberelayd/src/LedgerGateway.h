#pragma once

#include "LibCore/Async.h"
#include "LibLedger/Submitter.h"
#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include <functional>
#include <vector>

// Sends ledger entries to the daemon that writes their shard: this one or, over a peer link, the first live daemon in
// rendezvous order. When that one fails, the next in the order are tried, and this daemon last; the platform's conditional writes
// decide between two writers.
class LedgerGateway {
public:
    // Daemons that are alive as far as this one knows, itself included.
    using LiveMembers = std::function<std::vector<Membership::Member>()>;

    LedgerGateway(std::string selfHost, Peer::Network&, Ledger::Submit local, LiveMembers);

    // Registers the call "ledgerSubmit" of other daemons.
    void serve();

    Core::Task<std::optional<std::vector<Ledger::EntryResult>>> submit(
        uint32_t shard, std::vector<Ledger::Entry>, Core::Deadline, Core::Reason&);

    // Whether this daemon is the shard's writer as far as it knows.
    bool isWriter(uint32_t shard) const;

private:
    // The daemons in the order in which they write the shard.
    std::vector<Membership::Member> orderOf(uint32_t shard) const;
    Core::Task<std::optional<std::vector<Ledger::EntryResult>>> submitToPeer(
        const Membership::Member&, uint32_t shard, const std::vector<Ledger::Entry>&, Core::Deadline, Core::Reason&);

    std::string m_selfHost;
    Peer::Network& m_network;
    Ledger::Submit m_local;
    LiveMembers m_liveMembers;
};
