#pragma once

#include "LibWitness/Record.h"
#include <nlohmann/json.hpp>

namespace Witness {

// Conversions between records and the JSON values that are encoded as CBOR. Conversions from JSON throw on values of the
// wrong type; decode() turns the exception into nullopt.
nlohmann::json toJson(const Ledger::Usage&);
nlohmann::json toJson(const Ledger::Holder&);
nlohmann::json toJson(const Record&);
nlohmann::json toJson(const std::vector<Record>&);
Ledger::Usage usageFrom(const nlohmann::json&);
Ledger::Holder holderFrom(const nlohmann::json&);
Record recordFrom(const nlohmann::json&);
std::vector<Record> recordsFrom(const nlohmann::json&);

std::string stringFrom(const nlohmann::json&);
int64_t integerFrom(const nlohmann::json&);
// A non-negative integer that fits into int64_t.
int64_t nonNegativeIntegerFrom(const nlohmann::json&);

// Converts remaining milliseconds to a deadline, clamped to avoid overflow of the clock.
Core::Deadline deadlineFrom(const nlohmann::json&);

std::string encode(const nlohmann::json&);

std::optional<nlohmann::json> decodeValue(const std::string& bytes);

// Decodes the bytes and applies the parser. Returns nullopt if the bytes are not valid CBOR or the parser throws.
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
