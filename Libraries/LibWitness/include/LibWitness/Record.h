#pragma once

#include "LibCore/Deadline.h"
#include "LibLedger/Entry.h"
#include <optional>
#include <string>
#include <vector>

namespace Witness {

// An attempt of a request, replicated to a second daemon (the witness) until its usage is in the ledger.
struct Record {
    std::string attemptId;
    std::string requestId;
    Ledger::BudgetId budget;
    Ledger::Holder owner;
    Ledger::Tokens tokensHeld { 0 };
    // Name of the endpoint, and id of the stream at that endpoint.
    std::string endpoint;
    std::string streamId;
    // Deadline of the request plus a margin. No daemon dispatches the attempt or forwards its output after it.
    Core::Deadline deadline { Core::Deadline::never() };
    // Set once the attempt has ended.
    std::optional<Ledger::Usage> usage;
    bool operator==(const Record&) const = default;
};

// CBOR codecs. The deadline is encoded as the remaining milliseconds, since daemons do not share a steady clock.
std::string encodeRecords(const std::vector<Record>&);
std::optional<std::vector<Record>> decodeRecords(const std::string&);

}
