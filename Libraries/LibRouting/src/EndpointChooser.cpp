#include "LibRouting/EndpointChooser.h"

#include "LibCore/Hash.h"
#include <algorithm>
#include <cmath>

namespace Routing {

static constexpr size_t prefixBytes = 1024;

// Mixes the bits of a number (the finaliser of splitmix64).
static uint64_t mix(uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

uint64_t prefixHashOf(std::string_view prompt)
{
    return Core::hash64(prompt.substr(0, prefixBytes));
}

// Weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1).
double rendezvousScore(const Candidate& candidate, uint64_t prefixHash)
{
    uint64_t bits = mix(candidate.key ^ mix(prefixHash)) >> 11;
    double uniform = (static_cast<double>(bits) + 0.5) / 9007199254740992.0;
    return -candidate.weight / std::log(uniform);
}

static bool isEligible(const Candidate& candidate, const ChooserHooks& hooks)
{
    return candidate.weight > 0 && (!hooks.isAllowed || hooks.isAllowed(candidate));
}

namespace {

// The eligible candidates' indices and sums.
struct Field {
    std::vector<size_t> indices;
    double load { 0 };
    double weight { 0 };
};

}

static Field eligibleField(const std::vector<Candidate>& candidates, const ChooserHooks& hooks)
{
    Field field;
    field.indices.reserve(candidates.size());
    for (size_t index = 0; index < candidates.size(); ++index) {
        if (!isEligible(candidates[index], hooks))
            continue;
        field.indices.push_back(index);
        field.load += candidates[index].load;
        field.weight += candidates[index].weight;
    }
    return field;
}

// The bound counts the new request and is rounded up to a whole one, or the fewest requests of a fleet with little load
// would exceed it everywhere. While the fleet has free slots, an endpoint without one is over the bound as well: its
// queue costs more than a prefix saves.
static bool isWithinBound(const Candidate& candidate, const Field& field, double loadBound)
{
    double after = candidate.load + 1;
    double mean = (field.load + 1) / field.weight;
    if (mean < 1 && after > std::max(1.0, candidate.weight))
        return false;
    return after <= std::ceil(loadBound * mean * candidate.weight);
}

static double costOf(const Candidate& candidate, const ChooserHooks& hooks)
{
    return hooks.cost ? hooks.cost(candidate) : (candidate.load + 1) / candidate.weight;
}

static size_t chooseOfTwo(const std::vector<Candidate>& candidates, const std::vector<size_t>& indices, uint64_t seed, const ChooserHooks& hooks)
{
    size_t size = indices.size();
    size_t firstPosition = mix(seed) % size;
    size_t first = indices[firstPosition];
    if (size == 1)
        return first;
    size_t step = 1 + mix(seed + 1) % (size - 1);
    size_t second = indices[(firstPosition + step) % size];
    return costOf(candidates[second], hooks) < costOf(candidates[first], hooks) ? second : first;
}

// The first candidates in the order of the prefix's rendezvous hash that are within the load bound.
static std::vector<size_t> affineCandidates(
    const std::vector<Candidate>& candidates, const Field& field, const ChoiceQuery& query, const ChooserSettings& settings)
{
    std::vector<std::pair<double, size_t>> ranked;
    ranked.reserve(field.indices.size());
    for (size_t index : field.indices)
        ranked.emplace_back(-rendezvousScore(candidates[index], query.prefixHash), index);
    size_t needed = static_cast<size_t>(std::ceil(query.prefixShare * settings.spreadFactor * static_cast<double>(ranked.size())));
    size_t spread = std::min(std::max(needed, settings.smallestSpread), ranked.size());
    std::vector<std::pair<double, size_t>>::iterator end = ranked.begin() + static_cast<std::ptrdiff_t>(spread);
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<size_t> affine;
    for (std::vector<std::pair<double, size_t>>::iterator rank = ranked.begin(); rank != end; ++rank) {
        if (isWithinBound(candidates[rank->second], field, settings.loadBound))
            affine.push_back(rank->second);
    }
    return affine;
}

std::optional<Choice> chooseEndpoint(
    const std::vector<Candidate>& candidates, const ChoiceQuery& query, const ChooserSettings& settings, const ChooserHooks& hooks)
{
    Field field = eligibleField(candidates, hooks);
    if (field.indices.empty())
        return std::nullopt;
    std::vector<size_t> affine = affineCandidates(candidates, field, query, settings);
    if (!affine.empty())
        return Choice { chooseOfTwo(candidates, affine, query.seed, hooks), true };
    return Choice { chooseOfTwo(candidates, field.indices, query.seed, hooks), false };
}

}
