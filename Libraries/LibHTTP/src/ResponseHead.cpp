#include "ResponseHead.h"

#include <boost/beast/core/string.hpp>

namespace HTTP {

// Statuses outside these bounds have no class (RFC 9110, section 15).
static constexpr unsigned minStatus = 100;
static constexpr unsigned maxStatus = 599;
static constexpr unsigned switchingProtocols = 101;

// Whether the body is in a transfer coding that the parser does not undo. It removes "chunked" if that is the last one of a field, and
// takes the body of any other field as it is. Transfer codings came with HTTP/1.1 (RFC 9112, section 6.1).
static bool hasUnknownFraming(const ResponseHead& head)
{
    size_t codings = 0;
    for (const Header& header : head.headers) {
        if (!boost::beast::iequals(header.name, "Transfer-Encoding"))
            continue;
        ++codings;
        if (!boost::beast::iequals(header.value, "chunked"))
            return true;
    }
    return codings > 1 || (codings > 0 && !head.isHTTP11);
}

std::optional<std::string> findFault(const ResponseHead& head)
{
    if (head.status < minStatus || head.status > maxStatus)
        return "the status " + std::to_string(head.status) + " is not between " + std::to_string(minStatus) + " and " + std::to_string(maxStatus);
    // What follows is not HTTP. The client never asks for that.
    if (head.status == switchingProtocols)
        return "the peer switched to another protocol";
    if (head.hasFoldedLine)
        return "a line of the head begins with a blank";
    if (hasUnknownFraming(head))
        return "the transfer coding is not chunked alone, or the version has none";
    return std::nullopt;
}

}
