#pragma once

#include "LibHTTP/Message.h"
#include <optional>
#include <string>

namespace HTTP {

// The head of a response, as the parser has read it.
struct ResponseHead {
    unsigned status { 0 };
    Headers headers;
};

// Returns why the head is not that of a response to the request, although the parser accepts it; empty if it is one.
std::optional<std::string> findFault(const ResponseHead&);

}
