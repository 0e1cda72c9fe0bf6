#pragma once

#include "LibCore/Async.h"
#include "LibLedger/LedgerAudit.h"
#include "LibLedger/Submitter.h"
#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include "LibWitness/Settler.h"
#include <functional>
#include <map>
#include <vector>

// Releases the unspent grants of holders that are proved dead. A holder's grant is released only when every live daemon
// says that it keeps no unbilled record of that holder, and when no other daemon was lost that could have kept one.
// Only a daemon that has itself seen the holder alive and lost decides this: one that started later cannot know which
// other daemons were lost. Tokens that nobody can release this way stay stranded.
class HolderRecovery {
public:
    struct Hooks {
        // When this process started.
        Core::SteadyClock::time_point startedAt {};
        std::function<std::vector<Membership::Member>()> live;
        std::function<Witness::OwnerState(const Ledger::Holder&)> ownerState;
        // Unbilled records of the holder that this daemon keeps.
        std::function<size_t(const Ledger::Holder&)> ownRecords;
        std::function<Core::Task<std::optional<Ledger::LedgerAudit>>(uint32_t shard, Core::Deadline, Core::Reason&)> audit;
        Ledger::Submit submit;
        std::function<Core::Task<std::optional<Ledger::Tokens>>(std::string endpoint, std::string streamId, Core::Deadline, Core::Reason&)> cancelStream;
    };

    HolderRecovery(std::string selfHost, uint32_t shardCount, Peer::Network&, Hooks);

    // A daemon's state changed in the view.
    void memberChanged(const Membership::Member&);
    // A newer incarnation took the host's address.
    void superseded(const std::string& host, uint64_t older);

    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    // One round over all lost holders.
    Core::Task<void> runOnce();

    // Holders that are proved dead and not released.
    size_t pending() const { return m_lost.size(); }

private:
    struct Loss {
        Core::SteadyClock::time_point at;
        // Left after a graceful shutdown, so that it took no other holder's records with it.
        bool wasGraceful { false };
        // Some other daemon was lost with it for good, so that it can never be released.
        bool isStranded { false };
    };

    void adoptWithdrawnHosts();
    bool hasSeenEnough(const Loss&) const;
    bool isFirstToTry(const Ledger::Holder&, const Loss&) const;
    bool couldHaveLostRecords(const Ledger::Holder&, Loss&) const;
    Core::Task<bool> noRecordsLeft(Ledger::Holder);
    Core::Task<bool> release(Ledger::Holder);
    Core::Task<bool> settleOpenAttempts(Ledger::Holder, const std::vector<Ledger::OpenAttempt>&);
    Core::Task<bool> closeGrants(Ledger::Holder, uint32_t shard, const Ledger::LedgerAudit&);
    Core::Task<bool> submit(uint32_t shard, std::vector<Ledger::Entry>);

    std::string m_selfHost;
    uint32_t m_shardCount;
    Peer::Network& m_network;
    Hooks m_hooks;
    Core::SteadyClock::time_point m_startedAt;
    // The last state of each incarnation that this daemon has seen alive.
    std::map<Ledger::Holder, Membership::MemberState> m_seen;
    // When a daemon became a suspect that has not been heard again.
    std::map<Ledger::Holder, Core::SteadyClock::time_point> m_suspects;
    std::map<Ledger::Holder, Loss> m_lost;
    // Losses of released holders, which still count against others for a while.
    std::map<Ledger::Holder, Loss> m_released;
    bool m_isStopped { false };
};
