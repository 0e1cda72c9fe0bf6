#include "ResponseHead.h"

namespace HTTP {

// Statuses outside these bounds have no class (RFC 9110, section 15).
static constexpr unsigned minStatus = 100;
static constexpr unsigned maxStatus = 599;
static constexpr unsigned switchingProtocols = 101;

std::optional<std::string> findFault(const ResponseHead& head)
{
    if (head.status < minStatus || head.status > maxStatus)
        return "the status " + std::to_string(head.status) + " is not between " + std::to_string(minStatus) + " and " + std::to_string(maxStatus);
    // What follows is not HTTP. The client never asks for that.
    if (head.status == switchingProtocols)
        return "the peer switched to another protocol";
    if (head.hasFoldedLine)
        return "a line of the head begins with a blank";
    return std::nullopt;
}

}
