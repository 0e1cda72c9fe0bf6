#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Ledger::CBOR {

// Parses CBOR without exceptions. Values nested deeper than a few levels are refused, since the parser recurses.
std::optional<nlohmann::json> parse(const std::string& bytes);

std::string serialise(const nlohmann::json&);

// Reads the fields of an array one after the other. The first wrong field makes all later reads return empty values
// and ok() return false.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& array);

    // A number from 0 to the maximum.
    int64_t number(int64_t maximum);
    uint64_t unsignedNumber();
    int64_t signedNumber();
    std::string text(size_t maximumBytes);
    // A text that must not be empty.
    std::string name(size_t maximumBytes);
    // A byte string.
    std::string bytes();
    // An array; an empty one after a failure.
    const nlohmann::json& array();
    bool isNull();

    void fail() { m_ok = false; }
    bool ok() const { return m_ok; }
    // True when every field was read and none was wrong.
    bool finished() const;

private:
    const nlohmann::json* next();

    const nlohmann::json& m_array;
    size_t m_next { 0 };
    bool m_ok { true };
};

// A CBOR byte string.
nlohmann::json byteString(const std::string&);

}
