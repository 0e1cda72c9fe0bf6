#pragma once

#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include "LibWitness/RecordStore.h"
#include <functional>
#include <map>
#include <memory>

namespace Witness {

class WitnessCalls;

enum class IdentityKind {
    // No other attempt of this request can exist.
    Random,
    // The request has an Idempotency-Key, so that a retry may find an earlier attempt.
    IdempotencyKey,
};

struct OpenResult {
    // An earlier attempt of the same request, which the caller of open must join instead of dispatching its own. With a
    // usage, that attempt has ended. Its usage is charged to its owner's grant, also when another daemon closes it.
    std::optional<Record> existing;
    // The host that keeps the record.
    std::string witness;
    bool operator==(const OpenResult&) const = default;
};

// The owner's side: opens and closes records at witnesses and keeps them until they are in the ledger, so that they can
// be sent again when a witness is lost. Must outlive its tasks.
class WitnessClient {
public:
    struct Hooks {
        // The daemons that are known, with their states.
        std::function<std::vector<Membership::Member>()> members;
        // The order of witnesses for a key; Membership::rendezvousOrder.
        std::function<std::vector<Membership::Member>(std::string_view key, std::vector<Membership::Member>)> order;
    };

    WitnessClient(const boost::asio::any_io_executor&, Peer::Network&, RecordStore& local, Peer::Identity self, Hooks);
    ~WitnessClient();

    // Sends the record to its witness before the dispatch. Fails when no witness outside this failure domain has
    // acknowledged it; the attempt is then not known here.
    Core::Task<std::optional<OpenResult>> open(Record, Core::Deadline, Core::Reason&, IdentityKind = IdentityKind::Random);

    // Sends the usage of an attempt before the end of the answer is sent. Fails when no witness outside this failure
    // domain has acknowledged it; the bill must then be committed to the ledger.
    Core::Task<bool> close(std::string attemptId, Ledger::Usage, Core::Deadline, Core::Reason&);

    // Drops attempts whose usage is in the ledger, or that were never dispatched, here and at their witnesses.
    void flushed(const std::vector<std::string>& attemptIds);

    // Looks for an earlier attempt of the request at both candidate witnesses, and joins it until the deadline.
    Core::Task<std::optional<Record>> find(std::string requestId, Core::Deadline joinUntil, Core::Deadline);

    // Forgets a joined attempt here, and leaves its records at the witnesses to its owner.
    void leave(const std::string& attemptId) { m_owned.erase(attemptId); }

    // Whether a retry reads the stream of this attempt. Its owner must not cancel the stream then.
    Core::Task<bool> isJoined(std::string attemptId, Core::Deadline);

    // Sends the records whose witness is gone or leaving to the next one; once.
    Core::Task<void> resendLost(Core::Deadline);

    // Repeats resendLost until stopped.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    // The records that are not in the ledger.
    std::vector<Record> unflushed() const;

private:
    // A daemon that was sent a record.
    struct Holding {
        Membership::Member witness;
        bool isAcknowledged { false };
    };

    struct Owned {
        Record record;
        std::vector<Holding> holdings;
    };

    enum class Step {
        Stored,
        Existing,
        Failed,
    };

    std::vector<Membership::Member> candidates(const std::string& requestId) const;
    bool isOutside(const Membership::Member& member) const { return member.failureDomain != m_self.failureDomain; }
    Core::Task<Step> tryOpen(Owned&, std::optional<OpenResult>&, Membership::Member, bool joins, Core::Deadline, Core::Reason&);
    Core::Task<Step> openAtOutsiders(Owned&, std::optional<OpenResult>&, std::vector<Membership::Member>, bool joins, Core::Deadline, Core::Reason&);
    Core::Task<Step> claimAtFirst(Owned&, std::optional<OpenResult>&, Membership::Member first, std::optional<Membership::Member> second, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<Record>> findAt(Membership::Member, Record own, Core::Deadline);
    OpenResult adopt(Owned& own, const Record& existing, const Membership::Member& witness);
    void withdraw(const Owned&);
    Core::Task<bool> closeAt(std::string attemptId, Membership::Member, Ledger::Usage, Core::Deadline, Core::Reason&);
    void closeElsewhere(const Owned&, const std::string& acknowledgedBy, const Ledger::Usage&);
    void addHolding(const std::string& attemptId, const Holding&);
    bool isCovered(const Owned&, const std::map<std::string, Membership::Member>& live) const;
    Core::Task<void> resendTo(Membership::Member, std::vector<Record>, Core::Deadline);

    boost::asio::any_io_executor m_executor;
    Peer::Identity m_self;
    Hooks m_hooks;
    std::shared_ptr<WitnessCalls> m_calls;
    std::map<std::string, Owned> m_owned;
    bool m_isStopped { false };
};

}
