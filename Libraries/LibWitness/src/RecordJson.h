#pragma once

#include "LibWitness/Record.h"
#include <nlohmann/json.hpp>

namespace Witness {

// Conversions between records and the values that travel as CBOR. Those from a value throw on a wrong shape; callers
// at the edge catch and refuse.
nlohmann::json toJson(const Ledger::Usage&);
nlohmann::json toJson(const Ledger::Holder&);
nlohmann::json toJson(const Record&);
nlohmann::json toJson(const std::vector<Record>&);
Ledger::Usage usageFrom(const nlohmann::json&);
Ledger::Holder holderFrom(const nlohmann::json&);
Record recordFrom(const nlohmann::json&);
std::vector<Record> recordsFrom(const nlohmann::json&);

std::string textFrom(const nlohmann::json&);
int64_t integerFrom(const nlohmann::json&);
// An unsigned number that fits into int64_t.
int64_t naturalFrom(const nlohmann::json&);

// A deadline from the remaining milliseconds, limited to the range of the clock.
Core::Deadline deadlineFrom(const nlohmann::json&);

std::string encode(const nlohmann::json&);

std::optional<nlohmann::json> decodeValue(const std::string& bytes);

// Runs the parser on the decoded bytes; nullopt when they are not CBOR or have the wrong shape.
template <typename Parser>
auto decode(const std::string& bytes, Parser parser) -> std::optional<decltype(parser(nlohmann::json()))>
{
    std::optional<nlohmann::json> value = decodeValue(bytes);
    if (!value)
        return std::nullopt;
    try {
        return parser(*value);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
