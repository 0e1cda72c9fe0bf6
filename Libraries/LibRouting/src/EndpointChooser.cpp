#include "LibRouting/EndpointChooser.h"

#include "LibCore/Hash.h"
#include <algorithm>
#include <cmath>

namespace Routing {

static constexpr size_t hashedPrefixBytes = 1024;

// One step of the SplitMix64 generator, used as an integer hash.
static uint64_t splitmix64(uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

uint64_t prefixHashOf(std::string_view prompt)
{
    return Core::hash64(prompt.substr(0, hashedPrefixBytes));
}

// Weighted rendezvous hashing: -weight / ln(u) with u uniformly distributed in (0, 1).
double rendezvousScore(const Candidate& candidate, uint64_t prefixHash)
{
    uint64_t bits = splitmix64(candidate.nameHash ^ splitmix64(prefixHash)) >> 11;
    double uniform = (static_cast<double>(bits) + 0.5) / 0x1p53;
    return -candidate.weight / std::log(uniform);
}

static bool isEligible(const Candidate& candidate, const ChooserHooks& hooks)
{
    return candidate.weight > 0 && (!hooks.isAllowed || hooks.isAllowed(candidate));
}

namespace {

// Indices of the eligible candidates, with their total load and weight.
struct EligibleSet {
    std::vector<size_t> indices;
    double load { 0 };
    double weight { 0 };
};

}

static EligibleSet eligibleSet(const std::vector<Candidate>& candidates, const ChooserHooks& hooks)
{
    EligibleSet eligible;
    eligible.indices.reserve(candidates.size());
    for (size_t index = 0; index < candidates.size(); ++index) {
        if (!isEligible(candidates[index], hooks))
            continue;
        eligible.indices.push_back(index);
        eligible.load += candidates[index].load;
        eligible.weight += candidates[index].weight;
    }
    return eligible;
}

// The bound includes the new request and is rounded up to a whole request; otherwise every endpoint of a lightly loaded
// fleet would exceed it. While the fleet has free slots, an endpoint without a free slot also exceeds the bound, since
// queueing costs more time than a cached prefix saves.
static bool isWithinBound(const Candidate& candidate, const EligibleSet& eligible, double loadBound)
{
    double after = candidate.load + 1;
    double mean = (eligible.load + 1) / eligible.weight;
    if (mean < 1 && after > std::max(1.0, candidate.weight))
        return false;
    return after <= std::ceil(loadBound * mean * candidate.weight);
}

static double costOf(const Candidate& candidate, const ChooserHooks& hooks)
{
    return hooks.cost ? hooks.cost(candidate) : (candidate.load + 1) / candidate.weight;
}

static size_t powerOfTwoChoice(const std::vector<Candidate>& candidates, const std::vector<size_t>& indices, uint64_t seed, const ChooserHooks& hooks)
{
    size_t size = indices.size();
    size_t firstPosition = splitmix64(seed) % size;
    size_t first = indices[firstPosition];
    if (size == 1)
        return first;
    size_t step = 1 + splitmix64(seed + 1) % (size - 1);
    size_t second = indices[(firstPosition + step) % size];
    return costOf(candidates[second], hooks) < costOf(candidates[first], hooks) ? second : first;
}

// Returns the highest-ranked candidates for the prefix, without those above the load bound.
static std::vector<size_t> affineCandidates(
    const std::vector<Candidate>& candidates, const EligibleSet& eligible, const ChoiceQuery& query, const ChooserSettings& settings)
{
    std::vector<std::pair<double, size_t>> ranked;
    ranked.reserve(eligible.indices.size());
    for (size_t index : eligible.indices)
        ranked.emplace_back(-rendezvousScore(candidates[index], query.prefixHash), index);
    size_t needed = static_cast<size_t>(std::ceil(query.prefixShare * settings.spreadFactor * static_cast<double>(ranked.size())));
    size_t spread = std::min(std::max(needed, settings.minSpread), ranked.size());
    std::vector<std::pair<double, size_t>>::iterator end = ranked.begin() + static_cast<std::ptrdiff_t>(spread);
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<size_t> affine;
    for (std::vector<std::pair<double, size_t>>::iterator rank = ranked.begin(); rank != end; ++rank) {
        if (isWithinBound(candidates[rank->second], eligible, settings.loadBound))
            affine.push_back(rank->second);
    }
    return affine;
}

std::optional<Choice> chooseEndpoint(
    const std::vector<Candidate>& candidates, const ChoiceQuery& query, const ChooserSettings& settings, const ChooserHooks& hooks)
{
    EligibleSet eligible = eligibleSet(candidates, hooks);
    if (eligible.indices.empty())
        return std::nullopt;
    std::vector<size_t> affine = affineCandidates(candidates, eligible, query, settings);
    if (!affine.empty())
        return Choice { powerOfTwoChoice(candidates, affine, query.seed, hooks), true };
    return Choice { powerOfTwoChoice(candidates, eligible.indices, query.seed, hooks), false };
}

}
