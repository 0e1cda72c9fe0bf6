#include "LibTelemetry/TraceContext.h"

namespace Telemetry {

static constexpr size_t headerLength = 55;

std::string hexText(uint64_t number)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (size_t i = 0; i < 16; ++i)
        text[i] = digits[(number >> (60 - 4 * i)) & 15];
    return text;
}

// The W3C specification allows only lowercase digits.
static std::optional<uint64_t> parseHex(std::string_view digits)
{
    uint64_t number = 0;
    for (char digit : digits) {
        bool isDecimal = digit >= '0' && digit <= '9';
        bool isLetter = digit >= 'a' && digit <= 'f';
        if (!isDecimal && !isLetter)
            return std::nullopt;
        number = number << 4 | static_cast<uint64_t>(isDecimal ? digit - '0' : digit - 'a' + 10);
    }
    return number;
}

std::string TraceContext::traceIdText() const
{
    return hexText(traceIdHigh) + hexText(traceIdLow);
}

std::string TraceContext::spanIdText() const
{
    return hexText(spanId);
}

std::string TraceContext::text() const
{
    return "00-" + traceIdText() + "-" + spanIdText() + (isSampled ? "-01" : "-00");
}

std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() < headerLength || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    std::optional<uint64_t> version = parseHex(header.substr(0, 2));
    std::optional<uint64_t> high = parseHex(header.substr(3, 16));
    std::optional<uint64_t> low = parseHex(header.substr(19, 16));
    std::optional<uint64_t> span = parseHex(header.substr(36, 16));
    std::optional<uint64_t> flags = parseHex(header.substr(53, 2));
    if (!version || !high || !low || !span || !flags || *version == 255)
        return std::nullopt;
    // Later versions may append further fields, separated by a dash.
    bool hasExtraFields = header.size() > headerLength;
    if (hasExtraFields && (*version == 0 || header[headerLength] != '-'))
        return std::nullopt;
    TraceContext context { *high, *low, *span, (*flags & 1) != 0 };
    if (!context.isValid())
        return std::nullopt;
    return context;
}

}
