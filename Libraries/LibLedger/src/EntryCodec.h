#pragma once

#include "CBOR.h"
#include "LibLedger/Entry.h"

namespace Ledger {

nlohmann::json toJSON(const BudgetId&);
nlohmann::json toJSON(const Holder&);
nlohmann::json toJSON(const Outcome&);
nlohmann::json toJSON(const Entry&);

BudgetId readBudget(CBOR::FieldReader&);
Holder readHolder(CBOR::FieldReader&);
std::optional<Outcome> outcomeFromJSON(const nlohmann::json&);
std::optional<Entry> entryFromJSON(const nlohmann::json&);
nlohmann::json toJSON(const std::vector<Entry>&);
// Returns the size of the encoded entry in bytes.
size_t encodedSize(const Entry&);
// Returns the entry's type in lower case, for log lines.
const char* typeName(const Entry&);
std::optional<std::vector<Entry>> entriesFromJSON(const nlohmann::json&);

}
