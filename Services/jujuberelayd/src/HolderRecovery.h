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

// Releases the unspent grants of holders that are proved dead. A grant is released only if every live daemon reports that
// it has no unbilled records of the holder, and no other daemon was lost that might have had some. Only a daemon that has
// seen the holder both alive and lost decides this: one that started later cannot know which other daemons were lost.
// Tokens that cannot be released this way remain stranded.
class HolderRecovery {
public:
    struct Hooks {
        // Start time of this process.
        Core::SteadyClock::time_point startedAt {};
        std::function<std::vector<Membership::Member>()> liveMembers;
        std::function<Witness::OwnerState(const Ledger::Holder&)> ownerState;
        // Number of unbilled records of the holder stored by this daemon.
        std::function<size_t(const Ledger::Holder&)> localRecordCount;
        std::function<Core::Task<std::optional<Ledger::LedgerAudit>>(uint32_t shard, Core::Deadline, Core::Reason&)> audit;
        Ledger::Submit submit;
        std::function<Core::Task<std::optional<Ledger::Tokens>>(std::string endpoint, std::string streamId, Core::Deadline, Core::Reason&)> cancelStream;
    };

    HolderRecovery(std::string selfHost, uint32_t shardCount, Peer::Network&, Hooks);

    // The state of a daemon has changed in the membership view.
    void memberChanged(const Membership::Member&);
    // A newer incarnation has bound the address of the host.
    void incarnationSuperseded(const std::string& host, uint64_t older);

    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    // Tries once to release each lost holder.
    Core::Task<void> runOnce();

    // Number of holders that are lost and not released.
    size_t pending() const { return m_lost.size(); }

private:
    struct Loss {
        Core::SteadyClock::time_point at;
        // The daemon left after a graceful shutdown, so no records of other holders were lost with it.
        bool wasGraceful { false };
        // Another daemon was lost at about the same time, so the holder can never be released.
        bool isStranded { false };
    };

    void markWithdrawnHostsLost();
    bool hasObservedLossWindow(const Loss&) const;
    bool shouldTryRelease(const Ledger::Holder&, const Loss&) const;
    bool mayHaveLostRecords(const Ledger::Holder&, Loss&) const;
    Core::Task<bool> hasNoUnbilledRecords(Ledger::Holder);
    Core::Task<bool> release(Ledger::Holder);
    Core::Task<bool> settleOpenAttempts(Ledger::Holder, const std::vector<Ledger::OpenAttempt>&);
    Core::Task<bool> closeGrants(Ledger::Holder, uint32_t shard, const Ledger::LedgerAudit&);
    Core::Task<bool> submit(uint32_t shard, std::vector<Ledger::Entry>);

    std::string m_selfHost;
    uint32_t m_shardCount;
    Peer::Network& m_network;
    Hooks m_hooks;
    Core::SteadyClock::time_point m_startedAt;
    // Last known state of each incarnation that was seen alive.
    std::map<Ledger::Holder, Membership::MemberState> m_lastStates;
    // Time at which each current suspect became one.
    std::map<Ledger::Holder, Core::SteadyClock::time_point> m_suspects;
    std::map<Ledger::Holder, Loss> m_lost;
    // Recent losses of released holders, whose records may still have included those of other holders.
    std::map<Ledger::Holder, Loss> m_released;
    bool m_isStopped { false };
};
