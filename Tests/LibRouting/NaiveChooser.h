#pragma once

#include "LibRouting/EndpointChooser.h"
#include <cmath>
#include <set>

// All endpoints that the rules of the design document's section 10 permit for a query, found by comparing every pair of
// candidates. Written without the chooser's code, but for the rendezvous score and the settings.
class NaiveChooser {
public:
    NaiveChooser(const std::vector<Routing::Candidate>& candidates, const Routing::ChoiceQuery& query, const Routing::ChooserSettings& settings)
        : m_candidates(candidates)
        , m_query(query)
        , m_settings(settings)
    {
    }

    bool isEligible(size_t index) const { return m_candidates[index].weight > 0; }

    // Eligible candidates that are better for the prefix than this one.
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

    bool isOverBound(size_t index) const
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
        // Comparing with a rounded-up number: more than a whole request above the share.
        return after - share >= 1;
    }

    size_t eligibleCount() const
    {
        size_t count = 0;
        for (size_t index = 0; index < m_candidates.size(); ++index)
            count += isEligible(index) ? 1 : 0;
        return count;
    }

    // Candidates among which a prefix choice must be; empty: any eligible one.
    std::set<size_t> affine() const
    {
        std::set<size_t> affine;
        double needed = m_query.prefixShare * m_settings.spreadFactor * static_cast<double>(eligibleCount());
        for (size_t index = 0; index < m_candidates.size(); ++index) {
            double rank = static_cast<double>(rankOf(index));
            bool isNear = rank < std::ceil(needed) || rank < static_cast<double>(m_settings.smallestSpread);
            if (isEligible(index) && isNear && !isOverBound(index))
                affine.insert(index);
        }
        return affine;
    }

    double cost(size_t index) const { return (m_candidates[index].load + 1) / m_candidates[index].weight; }

    // Whether a choice from these is the better one of some pair of them.
    bool isBetterOfAPair(size_t index, const std::set<size_t>& from) const
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
