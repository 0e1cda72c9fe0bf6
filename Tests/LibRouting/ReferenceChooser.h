#pragma once

#include "LibRouting/EndpointChooser.h"
#include <cmath>
#include <set>

// Brute-force reference for chooseEndpoint, by the routing rules in section 10 of the design document. Independent of the
// chooser's code except for the rendezvous score and the settings.
class ReferenceChooser {
public:
    ReferenceChooser(const std::vector<Routing::Candidate>& candidates, const Routing::ChoiceQuery& query, const Routing::ChooserSettings& settings)
        : m_candidates(candidates)
        , m_query(query)
        , m_settings(settings)
    {
    }

    bool isEligible(size_t index) const { return m_candidates[index].weight > 0; }

    // Number of eligible candidates with a higher score for the prefix.
    size_t rankOf(size_t index) const
    {
        size_t rank = 0;
        double score = Routing::rendezvousScore(m_candidates[index], m_query.prefixHash);
        for (size_t other = 0; other < m_candidates.size(); ++other) {
            if (isEligible(other) && Routing::rendezvousScore(m_candidates[other], m_query.prefixHash) > score)
                ++rank;
        }
        return rank;
    }

    bool exceedsLoadBound(size_t index) const
    {
        double load = 1;
        double weight = 0;
        for (size_t other = 0; other < m_candidates.size(); ++other) {
            load += isEligible(other) ? m_candidates[other].load : 0;
            weight += isEligible(other) ? m_candidates[other].weight : 0;
        }
        double after = m_candidates[index].load + 1;
        bool hasFleetFreeSlots = load < weight;
        if (hasFleetFreeSlots && after > 1 && after > m_candidates[index].weight)
            return true;
        double share = m_settings.loadBound * load * m_candidates[index].weight / weight;
        // Equivalent to comparing with the share rounded up to a whole request.
        return after - share >= 1;
    }

    size_t eligibleCount() const
    {
        size_t count = 0;
        for (size_t index = 0; index < m_candidates.size(); ++index)
            count += isEligible(index) ? 1 : 0;
        return count;
    }

    // Candidates permitted for a choice by prefix affinity. If empty, every eligible candidate is permitted.
    std::set<size_t> affine() const
    {
        std::set<size_t> affine;
        double needed = m_query.prefixShare * m_settings.spreadFactor * static_cast<double>(eligibleCount());
        for (size_t index = 0; index < m_candidates.size(); ++index) {
            double rank = static_cast<double>(rankOf(index));
            bool isNear = rank < std::ceil(needed) || rank < static_cast<double>(m_settings.minSpread);
            if (isEligible(index) && isNear && !exceedsLoadBound(index))
                affine.insert(index);
        }
        return affine;
    }

    double cost(size_t index) const { return (m_candidates[index].load + 1) / m_candidates[index].weight; }

    // Whether the index is the less costly of at least one pair of these candidates.
    bool isPowerOfTwoChoice(size_t index, const std::set<size_t>& from) const
    {
        if (from.size() == 1)
            return from.contains(index);
        for (size_t other : from) {
            if (other != index && cost(index) <= cost(other))
                return from.contains(index);
        }
        return false;
    }

private:
    const std::vector<Routing::Candidate>& m_candidates;
    const Routing::ChoiceQuery& m_query;
    const Routing::ChooserSettings& m_settings;
};
