#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Telemetry {

// Identifies a span within a trace, as in the W3C traceparent header.
struct TraceContext {
    uint64_t traceIdHigh { 0 };
    uint64_t traceIdLow { 0 };
    uint64_t spanId { 0 };
    bool isSampled { false };
    bool operator==(const TraceContext&) const = default;

    // False if the trace ID or span ID is all zeros, which the W3C specification forbids.
    bool isValid() const { return (traceIdHigh != 0 || traceIdLow != 0) && spanId != 0; }

    // 32 and 16 lowercase hexadecimal digits.
    std::string traceIdText() const;
    std::string spanIdText() const;

    // Returns the header value in version 00.
    std::string text() const;

    // Parses a header value. Returns nullopt for an invalid one, which the specification requires to be ignored.
    static std::optional<TraceContext> parse(std::string_view header);
};

// Returns 16 lowercase hexadecimal digits.
std::string hexText(uint64_t number);

}
