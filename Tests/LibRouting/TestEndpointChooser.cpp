#include "LibRouting/EndpointChooser.h"
#include "LibRouting/PrefixPopularity.h"
#include "ReferenceChooser.h"

#include <criterion/criterion.h>
#include <map>
#include <random>

using Routing::Candidate;
using Routing::Choice;
using Routing::ChoiceQuery;
using Routing::ChooserSettings;

static std::vector<Candidate> randomCandidates(std::mt19937_64& generator)
{
    std::vector<Candidate> candidates(1 + generator() % 40);
    double meanLoad = static_cast<double>(generator() % 40);
    for (Candidate& candidate : candidates) {
        candidate.nameHash = generator();
        candidate.load = std::floor(std::poisson_distribution<int>(meanLoad + 0.01)(generator));
        candidate.weight = generator() % 5 == 0 ? 0 : static_cast<double>(1 + generator() % 32);
        if (generator() % 10 == 0)
            candidate.weight /= 10;
    }
    return candidates;
}

static std::vector<Candidate> equalCandidates(size_t count, double load, double weight)
{
    std::vector<Candidate> candidates(count);
    for (size_t index = 0; index < count; ++index)
        candidates[index] = { "", 0x9e3779b97f4a7c15 * (index + 1), load, weight };
    return candidates;
}

// Compares random choices with the reference: no endpoint above the load bound, outside the prefix's endpoints or more
// costly than the alternative, and no missing choice.
Test(EndpointChooser, agreesWithReferenceImplementation)
{
    std::mt19937_64 generator(20261204);
    ChooserSettings settings;
    int affinityChoices = 0;
    int otherChoices = 0;
    int emptyChoices = 0;
    for (int round = 0; round < 5000; ++round) {
        std::vector<Candidate> candidates = randomCandidates(generator);
        double share = generator() % 2 == 0 ? 0 : static_cast<double>(generator() % 1000) / 10000;
        ChoiceQuery query { generator(), share, generator() };
        settings.minSpread = 1 + generator() % 4;
        settings.spreadFactor = static_cast<double>(generator() % 40);
        ReferenceChooser reference(candidates, query, settings);
        std::optional<Choice> choice = Routing::chooseEndpoint(candidates, query, settings);
        cr_assert_eq(choice.has_value(), reference.eligibleCount() > 0, "round %d", round);
        if (!choice) {
            ++emptyChoices;
            continue;
        }
        std::set<size_t> permitted = reference.affine();
        cr_assert_eq(choice->isAffine, !permitted.empty(), "round %d", round);
        if (permitted.empty()) {
            for (size_t index = 0; index < candidates.size(); ++index) {
                if (reference.isEligible(index))
                    permitted.insert(index);
            }
        }
        cr_assert(reference.isPowerOfTwoChoice(choice->index, permitted), "round %d", round);
        cr_assert(choice == Routing::chooseEndpoint(candidates, query, settings), "round %d: not a pure function", round);
        ++(choice->isAffine ? affinityChoices : otherChoices);
    }
    cr_assert_gt(affinityChoices, 500);
    cr_assert_gt(otherChoices, 100);
    cr_assert_gt(emptyChoices, 10);
}

// Guards against a prefix that moves to another endpoint, and loses its cache, when an unrelated endpoint is removed.
Test(EndpointChooser, removedEndpointMovesOnlyItsPrefixes)
{
    std::vector<Candidate> candidates = equalCandidates(20, 0, 8);
    ChooserSettings settings;
    settings.minSpread = 1;
    int moved = 0;
    int onLeaving = 0;
    for (uint64_t prefix = 0; prefix < 1000; ++prefix) {
        ChoiceQuery query { prefix, 0, prefix };
        candidates[7].weight = 8;
        size_t before = Routing::chooseEndpoint(candidates, query, settings)->index;
        candidates[7].weight = 0;
        size_t after = Routing::chooseEndpoint(candidates, query, settings)->index;
        cr_assert_neq(after, 7u);
        onLeaving += before == 7 ? 1 : 0;
        moved += before != after ? 1 : 0;
    }
    cr_assert_eq(moved, onLeaving);
    cr_assert(onLeaving > 20 && onLeaving < 100, "%d of 1000 prefixes at one of 20 endpoints", onLeaving);
}

// Guards against an endpoint in slow start that gets its full share of prefixes at once.
Test(EndpointChooser, prefixShareIsProportionalToWeight)
{
    std::vector<Candidate> candidates = equalCandidates(10, 0, 10);
    candidates[3].weight = 1;
    ChooserSettings settings;
    settings.minSpread = 1;
    std::map<size_t, int> counts;
    for (uint64_t prefix = 0; prefix < 9100; ++prefix)
        ++counts[Routing::chooseEndpoint(candidates, { prefix, 0, prefix }, settings)->index];
    cr_assert(counts[3] > 50 && counts[3] < 150, "%d of about 100", counts[3]);
}

// Guards against a frequent prefix that overloads its endpoint while others are idle.
Test(EndpointChooser, overloadedEndpointIsSkipped)
{
    std::vector<Candidate> candidates = equalCandidates(10, 2, 8);
    ChooserSettings settings;
    settings.minSpread = 1;
    size_t preferred = Routing::chooseEndpoint(candidates, { 5, 0, 1 }, settings)->index;
    candidates[preferred].load = 6;
    std::optional<Choice> choice = Routing::chooseEndpoint(candidates, { 5, 0, 1 }, settings);
    cr_assert_neq(choice->index, preferred);
    cr_assert_not(choice->isAffine);
}

// Guards against routers with the same outdated reports that all send a frequent prefix to one endpoint.
Test(EndpointChooser, frequentPrefixIsSpread)
{
    std::vector<Candidate> candidates = equalCandidates(50, 2, 8);
    std::set<size_t> rare;
    std::set<size_t> frequent;
    for (uint64_t seed = 0; seed < 500; ++seed) {
        rare.insert(Routing::chooseEndpoint(candidates, { 5, 0, seed }, {})->index);
        frequent.insert(Routing::chooseEndpoint(candidates, { 5, 0.01, seed }, {})->index);
    }
    cr_assert_eq(rare.size(), 2u);
    cr_assert_eq(frequent.size(), 16u);
}

// Guards against hooks that are ignored.
Test(EndpointChooser, hooksOverrideEligibilityAndCost)
{
    std::vector<Candidate> candidates = equalCandidates(10, 2, 8);
    Routing::ChooserHooks hooks;
    hooks.isAllowed = [&](const Candidate& candidate) { return candidate.nameHash == candidates[4].nameHash; };
    cr_assert_eq(Routing::chooseEndpoint(candidates, { 1, 0, 1 }, {}, hooks)->index, 4u);
    hooks.isAllowed = [](const Candidate&) { return false; };
    cr_assert_not(Routing::chooseEndpoint(candidates, { 1, 0, 1 }, {}, hooks));
    Routing::ChooserHooks costly;

    std::set<size_t> chosen;
    costly.cost = [&](const Candidate& candidate) { return static_cast<double>(candidate.nameHash); };
    for (uint64_t seed = 0; seed < 50; ++seed)
        chosen.insert(Routing::chooseEndpoint(candidates, { 1, 0, seed }, {}, costly)->index);
    cr_assert_eq(chosen.size(), 1u);
}

// Guards against a prefix hash that depends on more than the first 1024 bytes of the prompt.
Test(EndpointChooser, prefixHashCoversFirstKilobyte)
{
    std::string prefix(1024, 'a');
    cr_assert_eq(Routing::prefixHashOf(prefix + "x"), Routing::prefixHashOf(prefix + "y"));
    cr_assert_neq(Routing::prefixHashOf(std::string(1023, 'a') + "x"), Routing::prefixHashOf(std::string(1023, 'a') + "y"));
}

// Guards against a wrong estimate and against memory use that grows with the number of prefixes.
Test(PrefixPopularity, estimatesSharesInBoundedMemory)
{
    Routing::PrefixPopularity popularity;
    cr_assert_eq(popularity.record(1), 0);
    double share = 0;
    for (uint64_t request = 0; request < 100000; ++request) {
        popularity.record(1000 + request);
        if (request % 4 == 0)
            share = popularity.record(7);
        cr_assert_leq(popularity.size(), 8192u);
    }
    cr_assert(share > 0.18 && share < 0.22, "%f of about 0.2", share);
    // The share of a prefix without new requests decays.
    for (uint64_t request = 0; request < 50000; ++request)
        popularity.record(500000 + request);
    cr_assert_lt(popularity.record(7), 0.01);
}
