#pragma once

#include "LibRouting/Candidate.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Routing {

struct ChooserSettings {
    // Endpoints whose load per weight would exceed this multiple of the mean are not chosen by prefix.
    double loadBound { 1.25 };
    // The number of endpoints that serve a prefix is prefixShare * spreadFactor * (number of endpoints), but at least
    // minSpread. Otherwise daemons with the same outdated load reports would all send a frequent prefix to one endpoint.
    size_t minSpread { 2 };
    double spreadFactor { 32 };
};

// Overrides for the choice. An empty function selects the default.
struct ChooserHooks {
    // Returns false for endpoints to exclude, for example by routing rules.
    std::function<bool(const Candidate&)> isAllowed;
    // Replaces the load per weight in the comparison of two random candidates. The lower cost is chosen.
    std::function<double(const Candidate&)> cost;
};

struct ChoiceQuery {
    // See prefixHashOf.
    uint64_t prefixHash { 0 };
    // Fraction of the recent requests that have the prefix, 0 to 1. See PrefixPopularity.
    double prefixShare { 0 };
    // Seed for the random candidates. Must differ between requests.
    uint64_t seed { 0 };
};

struct Choice {
    // Index into the candidates.
    size_t index { 0 };
    // Whether the endpoint was chosen by prefix affinity.
    bool isAffine { false };
    bool operator==(const Choice&) const = default;
};

// Hash of the first 1024 bytes of the prompt.
uint64_t prefixHashOf(std::string_view prompt);

// Weighted rendezvous score of a candidate for a prefix. The highest score ranks first; over all prefixes, the probability
// of ranking first is proportional to the weight.
double rendezvousScore(const Candidate&, uint64_t prefixHash);

// Rendezvous hashing with bounded loads, combined with power-of-two choices. Takes the highest-ranked endpoints for the
// prefix, as many as the prefix's share requires, removes those above the load bound, and returns the less costly of two
// random ones. If none remain, compares two random candidates of all eligible ones. The random pairs prevent daemons with
// the same outdated load reports from all choosing the same endpoint. Returns nothing if no candidate is allowed and has a
// weight above 0. Depends on nothing but its arguments.
std::optional<Choice> chooseEndpoint(const std::vector<Candidate>&, const ChoiceQuery&, const ChooserSettings&, const ChooserHooks& = {});

}
