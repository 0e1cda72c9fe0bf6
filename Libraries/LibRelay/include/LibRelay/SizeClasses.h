#pragma once

#include "LibRelay/Configuration.h"
#include <cstddef>
#include <map>
#include <string>

namespace Relay {

// Splits the routes of a service into those with small and those with large prompts, and says what part of the endpoints
// each class needs, so that small prompts do not wait behind large ones (size interval task assignment). Routes rather than
// requests, so that prompts with shared parts stay together. Works on what this daemon has seen.
class SizeClasses {
public:
    // Records the tokens that an endpoint has to read for a request.
    void record(const std::string& route, Tokens work);

    // False until enough requests have been seen.
    bool isKnown() const;
    bool isLarge(const std::string& route) const;

    // Of the given endpoints, those for small prompts: in proportion to their work, at least one for each class.
    size_t endpointsForSmall(size_t endpoints) const;

private:
    // Averages over recent requests.
    struct Average {
        double value { 0 };
        size_t count { 0 };
        void add(double);
    };

    Average m_work;
    Average m_smallWork;
    std::map<std::string, Average> m_routes;
};

}
