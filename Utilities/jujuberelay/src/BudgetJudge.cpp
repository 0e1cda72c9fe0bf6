#include "BudgetJudge.h"

#include <algorithm>
#include <numeric>

namespace Measure {

namespace {

constexpr std::chrono::milliseconds cellSize { 10 };

size_t cellOf(Time time)
{
    return static_cast<size_t>(time.time_since_epoch() / cellSize);
}

// The unspent tokens of a budget over time, all places together.
class FreeTokens {
public:
    explicit FreeTokens(size_t cells)
        : m_free(cells, 0)
        , m_laterMinimum(cells, 0)
    {
    }

    // Sets the tokens from the changes in each cell.
    void fill(const std::vector<Tokens>& changes)
    {
        std::partial_sum(changes.begin(), changes.end(), m_free.begin());
        updateMinimum();
    }

    // Adds a request. The cell in which it ends still counts as held.
    void occupy(size_t start, const TraceRequest& request)
    {
        size_t end = start + static_cast<size_t>(request.duration / cellSize) + 1;
        for (size_t cell = start; cell < m_free.size(); ++cell)
            m_free[cell] -= cell < end ? request.bound : request.used;
        updateMinimum();
    }

    // The first cell from which the request fits; empty when it fits nowhere in its waiting time.
    std::optional<size_t> firstFit(const TraceRequest& request, size_t from, size_t until) const
    {
        size_t length = static_cast<size_t>(request.duration / cellSize) + 1;
        for (size_t start = from; start <= until; ++start) {
            if (m_laterMinimum[start + length] < request.used)
                continue;
            size_t cell = start;
            while (cell < start + length && m_free[cell] >= request.bound)
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
        Tokens minimum = m_free.back();
        for (size_t cell = m_free.size(); cell-- > 0;)
            m_laterMinimum[cell] = minimum = std::min(minimum, m_free[cell]);
    }

    std::vector<Tokens> m_free;
    std::vector<Tokens> m_laterMinimum;
};

FreeTokens servedHistory(const BudgetTrace& trace, const ReplayOutcome& outcome, size_t cells)
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
    FreeTokens free(cells);
    free.fill(changes);
    return free;
}

}

void Judgement::add(const Judgement& other)
{
    requests += other.requests;
    served += other.served;
    falseRefusals += other.falseRefusals;
}

Judgement judge(const BudgetTrace& trace, const ReplaySettings& settings, const ReplayOutcome& outcome)
{
    FreeTokens free = servedHistory(trace, outcome, cellOf(trace.end + std::chrono::minutes(5)));
    Judgement judgement;
    for (size_t i = 0; i < trace.requests.size(); ++i) {
        const TraceRequest& request = trace.requests[i];
        bool isCounted = request.arrival >= trace.judgedFrom && request.arrival < trace.judgedUntil;
        judgement.requests += isCounted;
        if (outcome.startedAt[i]) {
            judgement.served += isCounted;
            continue;
        }
        if (!isCounted)
            continue;
        std::optional<size_t> start = free.firstFit(request, cellOf(request.arrival), cellOf(request.arrival + settings.waitLimit()));
        if (!start)
            continue;
        ++judgement.falseRefusals;
        free.occupy(*start, request);
    }
    return judgement;
}

}
