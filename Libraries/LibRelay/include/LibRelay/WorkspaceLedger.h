#pragma once

#include "LibCore/Reason.h"
#include "LibRelay/Configuration.h"
#include <map>
#include <optional>
#include <string>

namespace Relay {

// What one daemon has taken from a budget.
struct LedgerRow {
    // The store's revision at which the process announced itself; a later process on a host has a higher one.
    uint64_t incarnation { 0 };
    // Number of the changes to this row by this incarnation; makes a change that is sent again take effect once.
    uint64_t sequence { 0 };
    // Tokens granted less tokens returned; below 0 where a daemon returned what others had handed to it. The sum over
    // all rows counts as spent.
    Tokens granted { 0 };
    bool operator==(const LedgerRow&) const = default;
};

// A daemon's request to change its row.
struct GrantChange {
    std::string workspace;
    std::string host;
    uint64_t incarnation { 0 };
    // One above that of the daemon's last change to this workspace that took effect.
    uint64_t sequence { 0 };
    // Tokens to grant, or below 0 to return.
    Tokens wanted { 0 };
    // Fewest tokens that are of use; a smaller remainder grants nothing.
    Tokens least { 0 };
    // The budget that the daemon knows and the configuration it is from.
    uint64_t configurationVersion { 0 };
    Tokens budget { 0 };
    bool operator==(const GrantChange&) const = default;
};

// The state of a daemon's grant after a change.
struct GrantState {
    // Whether the change took effect, now or before. Otherwise the remainder was below the least that was wanted.
    bool isApplied { false };
    // A later process runs on the host; the rest of the state is that of its row.
    bool isSuperseded { false };
    uint64_t sequence { 0 };
    Tokens granted { 0 };
    Tokens remaining { 0 };
    // Granted to all daemons that have a row.
    Tokens grantedToAll { 0 };
    bool operator==(const GrantState&) const = default;
};

// A daemon's request for tokens of another daemon's grant.
struct TransferRequest {
    std::string workspace;
    std::string host;
    uint64_t incarnation { 0 };
    // Counts the requests of a daemon; one that is sent again after a lost answer gets the same answer.
    uint64_t sequence { 0 };
    // Tokens to hand over, or below 0 to take back.
    Tokens wanted { 0 };
    // Fewest tokens that are of use.
    Tokens least { 0 };
    bool operator==(const TransferRequest&) const = default;
};

struct TransferReply {
    // Tokens that have changed hands, in the direction that was wanted; 0 when fewer than the least were left.
    Tokens tokens { 0 };
    // Tokens of the workspace that are not granted, and those granted to all daemons.
    Tokens remaining { 0 };
    Tokens grantedToAll { 0 };
    bool operator==(const TransferReply&) const = default;
};

// One workspace's budget. Only conditional writes to the store change it, so the sum of all grants never exceeds the
// budget.
struct WorkspaceLedger {
    // Configuration version that the budget is from.
    uint64_t configurationVersion { 0 };
    Tokens budget { 0 };
    // Granted to processes that have ended.
    Tokens closed { 0 };
    // By host.
    std::map<std::string, LedgerRow> rows;
    bool operator==(const WorkspaceLedger&) const = default;

    // Tokens that are not granted; negative after the operator lowered the budget below the grants.
    Tokens remaining() const;

    // Takes over a newer budget and applies the change once. A change of a process that a later one on its host has
    // replaced has no effect.
    GrantState apply(const GrantChange&);

private:
    GrantState stateOf(const std::string& host, bool isApplied) const;
};

// The object in the store that holds the ledgers of the workspaces of one shard.
using LedgerShard = std::map<std::string, WorkspaceLedger>;

std::string encodeShard(const LedgerShard&);
std::optional<LedgerShard> decodeShard(const std::string& text, Core::Reason&);

// CBOR messages between daemons.
std::string encodeTransfer(const TransferRequest&);
std::optional<TransferRequest> decodeTransfer(const std::string& bytes, Core::Reason&);
std::string encodeReply(const TransferReply&);
std::optional<TransferReply> decodeReply(const std::string& bytes, Core::Reason&);

}
