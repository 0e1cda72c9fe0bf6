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
    // No other attempt of the request can exist.
    Random,
    // The request has an Idempotency-Key, so it may be a retry of an earlier attempt.
    IdempotencyKey,
};

struct OpenResult {
    // An earlier attempt of the same request, which the caller must join instead of dispatching its own. If it has a
    // usage, it has ended. The usage is charged to the grant of the attempt's owner, even if another daemon closes it.
    std::optional<Record> existing;
    // The host that stores the record.
    std::string witness;
    bool operator==(const OpenResult&) const = default;
};

// The owner's side of the witness protocol. Opens and closes records at witnesses, and keeps a copy of each until its
// usage is in the ledger, so that it can be replicated again if the witness is lost. Must outlive its tasks.
class WitnessClient {
public:
    struct Hooks {
        // Returns the known daemons with their states.
        std::function<std::vector<Membership::Member>()> members;
        // Orders the members by preference as witness for a key; see Membership::rendezvousOrder.
        std::function<std::vector<Membership::Member>(std::string_view key, std::vector<Membership::Member>)> order;
    };

    WitnessClient(const boost::asio::any_io_executor&, Peer::Network&, RecordStore& local, Peer::Identity self, Hooks);
    ~WitnessClient();

    // Replicates the record to a witness; called before the dispatch. Fails if no witness outside this failure domain has
    // acknowledged the record. The attempt is then not registered here.
    Core::Task<std::optional<OpenResult>> open(Record, Core::Deadline, Core::Reason&, IdentityKind = IdentityKind::Random);

    // Replicates the usage of an attempt; called before the end of the response is sent to the caller. Fails if no witness
    // outside this failure domain has acknowledged it. The usage must then be committed to the ledger instead.
    Core::Task<bool> close(std::string attemptId, Ledger::Usage, Core::Deadline, Core::Reason&);

    // Removes attempts whose usage is in the ledger, or that were never dispatched, from this client, and notifies their
    // witnesses.
    void markFlushed(const std::vector<std::string>& attemptIds);

    // Looks up an earlier attempt of the request at both candidate witnesses, and joins it until `joinUntil`.
    Core::Task<std::optional<Record>> find(std::string requestId, Core::Deadline joinUntil, Core::Deadline);

    // Stops tracking a joined attempt. Its records at the witnesses are not changed; the owner manages them.
    void stopTracking(const std::string& attemptId) { m_owned.erase(attemptId); }

    // Whether a retry has joined the attempt, in which case the owner must not cancel the stream.
    Core::Task<bool> isJoined(std::string attemptId, Core::Deadline);

    // Runs one pass that replicates each record whose witness is lost or leaving to the next candidate.
    Core::Task<void> resendUnreplicated(Core::Deadline);

    // Repeats resendUnreplicated until stopped.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    // Returns the records whose usage is not in the ledger.
    std::vector<Record> unflushed() const;

private:
    // A copy of a record at a witness. The copy may also exist if the witness did not acknowledge it.
    struct Replica {
        Membership::Member witness;
        bool isAcknowledged { false };
    };

    struct OwnedRecord {
        Record record;
        std::vector<Replica> replicas;
    };

    enum class OpenOutcome {
        Stored,
        Existing,
        Failed,
    };

    std::vector<Membership::Member> candidates(const std::string& requestId) const;
    bool isInOtherDomain(const Membership::Member& member) const { return member.failureDomain != m_self.failureDomain; }
    Core::Task<OpenOutcome> tryOpen(OwnedRecord&, std::optional<OpenResult>&, Membership::Member, bool joinExisting, Core::Deadline, Core::Reason&);
    Core::Task<OpenOutcome> openInOtherDomains(OwnedRecord&, std::optional<OpenResult>&, std::vector<Membership::Member>, bool joinExisting, Core::Deadline, Core::Reason&);
    Core::Task<OpenOutcome> openAtCandidates(OwnedRecord&, std::optional<OpenResult>&, Membership::Member first, std::optional<Membership::Member> second, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<Record>> joinAt(Membership::Member, Record own, Core::Deadline);
    OpenResult joinExistingAttempt(OwnedRecord& own, const Record& existing, const Membership::Member& witness);
    void discardReplicas(const OwnedRecord&);
    Core::Task<bool> closeAt(std::string attemptId, Membership::Member, Ledger::Usage, Core::Deadline, Core::Reason&);
    void closeOtherReplicas(const OwnedRecord&, const std::string& acknowledgedBy, const Ledger::Usage&);
    void addReplica(const std::string& attemptId, const Replica&);
    bool hasLiveReplica(const OwnedRecord&, const std::map<std::string, Membership::Member>& live) const;
    Core::Task<void> resendTo(Membership::Member, std::vector<Record>, Core::Deadline);

    boost::asio::any_io_executor m_executor;
    Peer::Identity m_self;
    Hooks m_hooks;
    std::shared_ptr<WitnessCalls> m_calls;
    std::map<std::string, OwnedRecord> m_owned;
    bool m_isStopped { false };
};

}
