#pragma once

#include "LibHTTP/Message.h"
#include <optional>
#include <string>

namespace HTTP {

// The head of a response, as the parser has read it.
struct ResponseHead {
    unsigned status { 0 };
    Headers headers;
    bool isHTTP11 { true };
    // Whether a line begins with a blank. The parser joins it to the line before (RFC 9112, section 5.2), which hides a field whose name
    // begins with a blank, such as the length of the body.
    bool hasFoldedLine { false };
};

// Returns why the head is not that of a response to the request, although the parser accepts it; empty if it is one.
std::optional<std::string> findFault(const ResponseHead&, const Headers& requestHeaders);

// Whether the head announces a body that its status does not allow. A server that sends it later would send the next response with it.
bool announcesForbiddenBody(const ResponseHead&);

}
