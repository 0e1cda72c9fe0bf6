#pragma once

#include <compare>
#include <string>

namespace Relay {

// What began a stream. Events of another service or software version do not continue it.
struct StreamOrigin {
    std::string service;
    std::string softwareVersion;
    auto operator<=>(const StreamOrigin&) const = default;
};

}
