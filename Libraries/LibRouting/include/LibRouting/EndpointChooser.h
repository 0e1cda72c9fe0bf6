#pragma once

#include "LibRouting/Candidate.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Routing {

struct ChooserSettings {
    // An endpoint whose load per weight is above this multiple of the mean passes the request on.
    double loadBound { 1.25 };
    // Endpoints that serve a prefix: at least the minimum, and this many times the prefix's share of all endpoints, so
    // that daemons with the same late reports do not all send a frequent prefix to one endpoint.
    size_t smallestSpread { 2 };
    double spreadFactor { 32 };
};

// Customisable behaviour; an empty function keeps the default.
struct ChooserHooks {
    // Excludes endpoints, for example by routing rules.
    std::function<bool(const Candidate&)> isAllowed;
    // Replaces the load per weight in the choice between two random candidates; the lower cost wins.
    std::function<double(const Candidate&)> cost;
};

struct ChoiceQuery {
    // hash64 of the prompt's first bytes; see prefixHashOf.
    uint64_t prefixHash { 0 };
    // Share of the recent requests that have the prefix, 0 to 1; see PrefixPopularity.
    double prefixShare { 0 };
    // Determines the random candidates; different for each request.
    uint64_t seed { 0 };
};

struct Choice {
    // Index into the candidates.
    size_t index { 0 };
    // Whether the choice follows the prompt's prefix.
    bool isAffine { false };
    bool operator==(const Choice&) const = default;
};

// Hash of the prompt's first 1 KB.
uint64_t prefixHashOf(std::string_view prompt);

// The rank of a candidate for a prefix, higher first; proportional to its weight on average over all prefixes.
double rendezvousScore(const Candidate&, uint64_t prefixHash);

// Takes the first endpoints in the order of the prefix's rendezvous hash, as many as the prefix's share needs, and leaves
// out those over the load bound. Chooses the better of two random ones of them; where none is left, the better of two
// random ones of all candidates. The random pairs keep daemons with the same late load reports from all choosing the same
// endpoint. Empty when no candidate is allowed and has a weight. A pure function of its arguments.
std::optional<Choice> chooseEndpoint(const std::vector<Candidate>&, const ChoiceQuery&, const ChooserSettings&, const ChooserHooks& = {});

}
