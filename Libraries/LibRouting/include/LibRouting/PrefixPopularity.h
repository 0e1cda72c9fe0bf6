#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Routing {

// Estimates the fraction of recent requests that share a prefix, in bounded memory, with exponentially decayed counts.
class PrefixPopularity {
public:
    // Counts a request and returns the fraction of the recent requests with the same prefix, including this one. Returns 0
    // while there are too few requests for an estimate.
    double record(uint64_t prefixHash);

    size_t size() const { return m_counts.size(); }

private:
    void decay();

    std::unordered_map<uint64_t, double> m_counts;
    double m_total { 0 };
};

}
