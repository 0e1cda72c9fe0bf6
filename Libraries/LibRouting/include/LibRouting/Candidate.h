#pragma once

#include <cstdint>
#include <string_view>

namespace Routing {

// An endpoint as one daemon sees it at one moment.
struct Candidate {
    // Points into the EndpointTable, until the next call of EndpointTable::adopt.
    std::string_view name;
    // Hash of the name.
    uint64_t key { 0 };
    // Requests that it probably runs or queues.
    double load { 0 };
    // Requests that it runs at once; less while it returns from an ejection, 0 when it must get none.
    double weight { 0 };

    bool operator==(const Candidate&) const = default;
};

}
