#pragma once

#include "LibCore/Async.h"
#include "LibLedger/Submitter.h"
#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include <functional>
#include <vector>

// Submits ledger entries to the writer of their shard, which is the first live daemon in rendezvous order, either locally or
// over a peer link. If it fails, the next daemons in the order are tried, and this daemon last. Conditional writes to the
// platform resolve conflicts between concurrent writers.
class LedgerGateway {
public:
    // Returns the daemons known to be alive, including this one.
    using LiveMembers = std::function<std::vector<Membership::Member>()>;

    LedgerGateway(std::string selfHost, Peer::Network&, Ledger::Submit submitLocally, LiveMembers);

    // Registers the handler of the call "ledgerSubmit".
    void serve();

    Core::Task<std::optional<std::vector<Ledger::EntryResult>>> submit(
        uint32_t shard, std::vector<Ledger::Entry>, Core::Deadline, Core::Reason&);

    // Returns whether this daemon is the writer of the shard according to its view of the fleet.
    bool isWriter(uint32_t shard) const;

private:
    // Returns the live daemons in the order in which they are tried as writers of the shard.
    std::vector<Membership::Member> writerOrder(uint32_t shard) const;
    Core::Task<std::optional<std::vector<Ledger::EntryResult>>> submitToPeer(
        const Membership::Member&, uint32_t shard, const std::vector<Ledger::Entry>&, Core::Deadline, Core::Reason&);

    std::string m_selfHost;
    Peer::Network& m_network;
    Ledger::Submit m_submitLocally;
    LiveMembers m_liveMembers;
};
