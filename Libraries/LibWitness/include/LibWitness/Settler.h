#pragma once

#include "LibLedger/Submitter.h"
#include "LibWitness/RecordStore.h"
#include <chrono>
#include <functional>
#include <map>
#include <set>

namespace Witness {

// What this daemon knows of the process that owns a record.
enum class OwnerState {
    Present,
    // Not heard of, or left; it may be paused or cut off and may return.
    Disappeared,
    // A newer incarnation has bound its address, or an operator has withdrawn its host.
    ProvedDead,
};

struct SettlerLimits {
    std::chrono::milliseconds interval { 1000 };
    std::chrono::milliseconds cancelLimit { 2000 };
    std::chrono::milliseconds submitLimit { 5000 };
    // An endpoint that does not know a stream is asked again after this time, in case the dispatch was still in flight.
    std::chrono::milliseconds notFoundConfirmation { 2000 };
    // Delay after the first failure at an endpoint or shard; doubled with each further failure.
    std::chrono::milliseconds firstRetryDelay { 1000 };
    std::chrono::milliseconds lastRetryDelay { 60000 };
    // A closed record of a present owner is submitted after this time, in case the owner's flushed notice was lost.
    std::chrono::milliseconds closedGrace { 600000 };
};

// Settles the records of owners that have gone. Every step may be repeated, and may race with the owner:
//
// - A stream is cancelled only when no owner can forward any more of it: the deadline of each owner and joiner has
//   passed, or the process is proved dead. Suspicion is not enough. Cancelling is idempotent, and the engine returns the
//   same count to everyone who asks later.
// - The ledger applies one usage for each attempt. Whether the witness's or a resumed owner's usage arrives first, the
//   other is a duplicate, so that there is one bill.
// - The store keeps the first usage of an attempt. If the owner's close arrives while the cancellation is under way, the
//   owner's count stays; if it arrives later, it does not replace the settled one.
class Settler {
public:
    struct Hooks {
        std::function<OwnerState(const Ledger::Holder&)> ownerState;
        // Cancels a stream and returns the tokens counted; EngineClient::cancel. NotFound: the endpoint does not know it.
        std::function<Core::Task<std::optional<Ledger::Tokens>>(std::string endpoint, std::string streamId, Core::Deadline, Core::Reason&)> cancelStream;
        std::function<uint32_t(const Ledger::BudgetId&)> shardOf;
        Ledger::Submit submit;
        // Wall-clock time in milliseconds since 1970.
        std::function<int64_t()> now;
    };

    Settler(RecordStore&, Hooks, SettlerLimits = {});

    // Cancels and bills the open records that are due, then submits the closed ones that are due.
    Core::Task<void> runOnce();

    // Repeats runOnce until stopped.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    // Submits all closed records, whoever owns them, for a graceful shutdown; true when none is left.
    Core::Task<bool> submitAll();

private:
    // The next attempt at a peer that has failed.
    struct Backoff {
        Core::Deadline nextTry { Core::Deadline(Core::SteadyClock::time_point::min()) };
        std::chrono::milliseconds delay { 0 };
    };

    bool isFinished(const Ledger::Holder&, Core::Deadline) const;
    bool mayCancel(const KeptRecord&) const;
    bool isDueForSubmission(const KeptRecord&) const;
    std::vector<std::string> attemptsToCancel() const;
    std::map<uint32_t, std::vector<Ledger::Entry>> usagesToSubmit(bool all) const;
    Core::Task<void> settle(std::string attemptId);
    Core::Task<void> submitShard(uint32_t shard, std::vector<Ledger::Entry>);
    bool dropDurable(const std::vector<Ledger::Entry>&, const std::vector<Ledger::EntryResult>&);
    void closeSettled(const Record&, Ledger::Tokens);
    void postpone(Backoff&) const;

    RecordStore& m_store;
    Hooks m_hooks;
    SettlerLimits m_limits;
    std::map<std::string, Backoff> m_endpoints;
    std::map<uint32_t, Backoff> m_shards;
    // Attempts whose stream was not found once, and when to ask again.
    std::map<std::string, Core::Deadline> m_notFound;
    bool m_isStopped { false };
};

}
