#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Ledger::CBOR {

// Returns std::nullopt for invalid CBOR and never throws. The nesting depth is limited, since the parser recurses.
std::optional<nlohmann::json> parse(const std::string& bytes);

std::string serialise(const nlohmann::json&);

// Reads the fields of an array in order. After the first invalid field, all reads return empty values and ok() returns
// false.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& array);

    // Reads a number from 0 to the maximum.
    int64_t number(int64_t maximum);
    uint64_t unsignedNumber();
    int64_t signedNumber();
    std::string text(size_t maximumBytes);
    // Reads a string that must not be empty.
    std::string name(size_t maximumBytes);
    std::string bytes();
    // Returns an empty array after a failure.
    const nlohmann::json& array();
    bool isNull();

    void fail() { m_ok = false; }
    bool ok() const { return m_ok; }
    // Returns true if every field was read and all were valid.
    bool finished() const;

private:
    const nlohmann::json* next();

    const nlohmann::json& m_array;
    size_t m_next { 0 };
    bool m_ok { true };
};

nlohmann::json byteString(const std::string&);

}
