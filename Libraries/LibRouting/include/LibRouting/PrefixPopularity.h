#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Routing {

// Estimates from a daemon's recent requests which share of them has a prefix. Keeps a bounded number of counts.
class PrefixPopularity {
public:
    // Counts a request and returns its prefix's share of the last thousands of requests, itself included. 0 while there
    // are too few requests to tell.
    double record(uint64_t prefixHash);

    size_t size() const { return m_counts.size(); }

private:
    void halve();

    std::unordered_map<uint64_t, double> m_counts;
    double m_total { 0 };
};

}
