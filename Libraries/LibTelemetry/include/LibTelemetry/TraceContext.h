#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Telemetry {

// The position of a span in a trace, as in the W3C header traceparent.
struct TraceContext {
    uint64_t traceIdHigh { 0 };
    uint64_t traceIdLow { 0 };
    uint64_t spanId { 0 };
    bool isSampled { false };
    bool operator==(const TraceContext&) const = default;

    // False for the identity 0, which the standard forbids.
    bool isValid() const { return (traceIdHigh != 0 || traceIdLow != 0) && spanId != 0; }

    // 32 and 16 hexadecimal digits.
    std::string traceIdText() const;
    std::string spanIdText() const;

    // The header's value, version 00.
    std::string text() const;

    // Parses a header's value; nullopt when it is not valid, as the standard asks to ignore it then.
    static std::optional<TraceContext> parse(std::string_view header);
};

// 16 hexadecimal digits.
std::string hexText(uint64_t number);

}
