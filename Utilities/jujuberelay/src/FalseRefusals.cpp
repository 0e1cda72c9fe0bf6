#include "FalseRefusals.h"

#include <algorithm>
#include <numeric>

namespace Measure {

namespace {

constexpr std::chrono::milliseconds cellSize { 10 };

size_t cellOf(Time time)
{
    return static_cast<size_t>(time.time_since_epoch() / cellSize);
}

// The unspent tokens of a budget over time, summed over the ledger and all daemons.
class UnspentTokens {
public:
    explicit UnspentTokens(size_t cells)
        : m_unspent(cells, 0)
        , m_suffixMinimum(cells, 0)
    {
    }

    // Computes the unspent tokens from the net change in each cell.
    void fill(const std::vector<Tokens>& changes)
    {
        std::partial_sum(changes.begin(), changes.end(), m_unspent.begin());
        updateMinimum();
    }

    // Reserves the tokens of a request. Its upper bound stays reserved through the cell in which it ends.
    void reserve(size_t start, const TraceRequest& request)
    {
        size_t end = start + static_cast<size_t>(request.duration / cellSize) + 1;
        for (size_t cell = start; cell < m_unspent.size(); ++cell)
            m_unspent[cell] -= cell < end ? request.bound : request.used;
        updateMinimum();
    }

    // Returns the first cell in [from, until] at which the request can start, if any.
    std::optional<size_t> firstFit(const TraceRequest& request, size_t from, size_t until) const
    {
        size_t length = static_cast<size_t>(request.duration / cellSize) + 1;
        for (size_t start = from; start <= until; ++start) {
            if (m_suffixMinimum[start + length] < request.used)
                continue;
            size_t cell = start;
            while (cell < start + length && m_unspent[cell] >= request.bound)
                ++cell;
            if (cell == start + length)
                return start;
            start = cell;
        }
        return std::nullopt;
    }

private:
    void updateMinimum()
    {
        Tokens minimum = m_unspent.back();
        for (size_t cell = m_unspent.size(); cell-- > 0;)
            m_suffixMinimum[cell] = minimum = std::min(minimum, m_unspent[cell]);
    }

    std::vector<Tokens> m_unspent;
    std::vector<Tokens> m_suffixMinimum;
};

UnspentTokens unspentTokensOverTime(const BudgetTrace& trace, const ReplayOutcome& outcome, size_t cells)
{
    std::vector<Tokens> changes(cells, 0);
    for (const TraceTopUp& topUp : trace.topUps)
        changes[cellOf(topUp.at)] += topUp.tokens;
    for (size_t i = 0; i < trace.requests.size(); ++i) {
        if (!outcome.startedAt[i])
            continue;
        const TraceRequest& request = trace.requests[i];
        changes[cellOf(*outcome.startedAt[i])] -= request.bound;
        changes[cellOf(*outcome.startedAt[i] + request.duration) + 1] += request.bound - request.used;
    }
    UnspentTokens unspent(cells);
    unspent.fill(changes);
    return unspent;
}

}

void RefusalCounts::add(const RefusalCounts& other)
{
    requests += other.requests;
    served += other.served;
    falseRefusals += other.falseRefusals;
}

RefusalCounts countFalseRefusals(const BudgetTrace& trace, const ReplaySettings& settings, const ReplayOutcome& outcome)
{
    UnspentTokens unspent = unspentTokensOverTime(trace, outcome, cellOf(trace.end + std::chrono::minutes(5)));
    RefusalCounts counts;
    for (size_t i = 0; i < trace.requests.size(); ++i) {
        const TraceRequest& request = trace.requests[i];
        bool isCounted = request.arrival >= trace.measuredFrom && request.arrival < trace.measuredUntil;
        counts.requests += isCounted;
        if (outcome.startedAt[i]) {
            counts.served += isCounted;
            continue;
        }
        if (!isCounted)
            continue;
        std::optional<size_t> start = unspent.firstFit(request, cellOf(request.arrival), cellOf(request.arrival + settings.waitLimit()));
        if (!start)
            continue;
        ++counts.falseRefusals;
        unspent.reserve(*start, request);
    }
    return counts;
}

}
