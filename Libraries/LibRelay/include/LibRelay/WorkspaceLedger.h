#pragma once

#include "LibCore/Reason.h"
#include "LibRelay/Configuration.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Relay {

// One daemon's share of a budget.
struct LedgerRow {
    // Store revision of the process's announcement. A later process on the same host has a higher one.
    uint64_t incarnation { 0 };
    // Number of changes that this incarnation made to the row. Deduplicates changes that are sent again.
    uint64_t sequence { 0 };
    // Tokens granted less tokens returned. Negative if the daemon returned tokens that were transferred to it. The sum over
    // all rows counts as spent.
    Tokens granted { 0 };
    bool operator==(const LedgerRow&) const = default;
};

// A daemon's change to its row.
struct GrantChange {
    std::string workspace;
    std::string host;
    uint64_t incarnation { 0 };
    // One more than that of the daemon's last applied change to this workspace.
    uint64_t sequence { 0 };
    // Tokens to grant; negative to return tokens.
    Tokens wanted { 0 };
    // Minimum useful grant. If less remains, nothing is granted.
    Tokens least { 0 };
    // The budget known to the daemon and the configuration version that it is from.
    uint64_t configurationVersion { 0 };
    Tokens budget { 0 };
    bool operator==(const GrantChange&) const = default;
};

// State of a daemon's grant after a change.
struct GrantState {
    // Whether the change took effect, now or earlier. Otherwise less than the minimum remained.
    bool isApplied { false };
    // A later process has taken over the host's row; the other fields describe that process's row.
    bool isSuperseded { false };
    uint64_t sequence { 0 };
    Tokens granted { 0 };
    Tokens remaining { 0 };
    // Sum of the grants of all rows.
    Tokens grantedToAll { 0 };
    bool operator==(const GrantState&) const = default;
};

// A daemon's request for tokens from another daemon's grant.
struct TransferRequest {
    std::string workspace;
    std::string host;
    uint64_t incarnation { 0 };
    // Sequence number of the daemon's requests. A repeated request gets the same reply.
    uint64_t sequence { 0 };
    // Tokens to transfer; negative to return tokens.
    Tokens wanted { 0 };
    // Minimum useful transfer.
    Tokens least { 0 };
    bool operator==(const TransferRequest&) const = default;
};

struct TransferReply {
    // Tokens transferred, with the sign of the request; 0 if less than the minimum was available.
    Tokens tokens { 0 };
    // The workspace's ungranted tokens, and the sum of all grants.
    Tokens remaining { 0 };
    Tokens grantedToAll { 0 };
    bool operator==(const TransferReply&) const = default;
};

// One workspace's budget and grants. It is changed only by conditional writes to the store, so the sum of all grants never
// exceeds the budget.
struct WorkspaceLedger {
    // Configuration version of the budget.
    uint64_t configurationVersion { 0 };
    Tokens budget { 0 };
    // Sum of the grants of processes that have been superseded.
    Tokens closed { 0 };
    // By host.
    std::map<std::string, LedgerRow> rows;
    bool operator==(const WorkspaceLedger&) const = default;

    // Ungranted tokens. Negative after the operator lowered the budget below the sum of all grants.
    Tokens remaining() const;

    // Adopts a newer budget and applies the change at most once. A change from a superseded process has no effect.
    GrantState apply(const GrantChange&);

    // Adds what another copy of the ledger knows: each row as of its later change, and all closed grants.
    void merge(const WorkspaceLedger&);

private:
    GrantState stateOf(const std::string& host, bool isApplied) const;
};

// The ledgers of one shard's workspaces, stored as one object. A store that was restored from an older copy has lost grants that
// daemons hold and spend, so the shard of an earlier era has to be rebuilt from what the daemons know before anything is granted.
struct LedgerShard {
    // Era of the store for which the shard is complete.
    uint64_t era { 0 };
    // While it is rebuilt: the daemons that have added what they know, by host, and whether that includes the last change of each
    // process on the host. A process that started after the restoration does not know what the one before it was granted.
    std::map<std::string, bool> confirmed;
    std::map<std::string, WorkspaceLedger> workspaces;
    bool operator==(const LedgerShard&) const = default;

    WorkspaceLedger& operator[](const std::string& workspace) { return workspaces[workspace]; }
    const WorkspaceLedger& at(const std::string& workspace) const { return workspaces.at(workspace); }

    // Adds what another copy of the shard knows.
    void merge(const LedgerShard&);
    // Whether all these hosts have confirmed the shard.
    bool isConfirmedBy(const std::set<std::string>& hosts) const;
    // Ends the rebuilding. If one of the hosts may hold grants that nobody knows of, everything that remains counts as granted.
    // Returns whether that is so.
    bool finishRebuilding(uint64_t storeEra, const std::set<std::string>& hosts);
};

std::string encodeShard(const LedgerShard&);
std::optional<LedgerShard> decodeShard(const std::string& text, Core::Reason&);

// CBOR messages between daemons.
std::string encodeTransfer(const TransferRequest&);
std::optional<TransferRequest> decodeTransfer(const std::string& bytes, Core::Reason&);
std::string encodeReply(const TransferReply&);
std::optional<TransferReply> decodeReply(const std::string& bytes, Core::Reason&);

}
