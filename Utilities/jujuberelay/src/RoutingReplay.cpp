#include "RoutingReplay.h"

#include "LibCore/Hash.h"
#include "ReplayRouter.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

namespace Commands {

using TimePoint = ReplayEventQueue::TimePoint;

namespace {

// Draws requests; the draws do not depend on the policy.
class RequestSource {
public:
    explicit RequestSource(const RoutingReplaySettings& settings)
        : m_settings(settings)
        , m_generator(settings.seed)
        , m_own(1.0 / static_cast<double>(settings.ownTokens))
        , m_answer(1.0 / static_cast<double>(settings.answerTokens))
        , m_gap(arrivalsPerSecond(settings))
    {
        std::vector<double> weights;
        for (int64_t rank = 1; rank <= settings.prefixes; ++rank)
            weights.push_back(1.0 / static_cast<double>(rank));
        m_prefix = std::discrete_distribution<uint64_t>(weights.begin(), weights.end());
    }

    ReplayRequest next()
    {
        ReplayRequest request;
        request.number = ++m_number;
        m_at += std::chrono::duration_cast<Core::SteadyClock::duration>(std::chrono::duration<double>(m_gap(m_generator)));
        request.arrival = m_at;
        request.deadline = Core::Deadline(m_at + std::chrono::milliseconds(m_settings.firstTokenLimitMs));
        request.prefix = m_prefix(m_generator);
        request.ownTokens = 1 + static_cast<int64_t>(m_own(m_generator));
        request.answerTokens = 1 + static_cast<int64_t>(m_answer(m_generator));
        return request;
    }

    uint64_t routerFor(const ReplayRequest& request) const
    {
        return Core::hash64("arrival " + std::to_string(request.number), m_settings.seed) % static_cast<uint64_t>(m_settings.routers);
    }

private:
    static double arrivalsPerSecond(const RoutingReplaySettings& settings)
    {
        double promptTokens = static_cast<double>(settings.prefixTokens + settings.ownTokens);
        double serviceMs = promptTokens * static_cast<double>(settings.prefillMsPer1000Tokens) / 1000
            + static_cast<double>(settings.answerTokens * settings.timePerTokenMs);
        double capacity = static_cast<double>(settings.endpoints * settings.slots) * 1000 / serviceMs;
        return capacity * static_cast<double>(settings.loadPercent) / 100;
    }

    const RoutingReplaySettings& m_settings;
    std::mt19937_64 m_generator;
    std::exponential_distribution<double> m_own;
    std::exponential_distribution<double> m_answer;
    std::exponential_distribution<double> m_gap;
    std::discrete_distribution<uint64_t> m_prefix;
    TimePoint m_at {};
    uint64_t m_number { 0 };
};

class Replay {
public:
    explicit Replay(const RoutingReplaySettings& settings)
        : m_settings(settings)
        , m_source(settings)
    {
        for (int64_t endpoint = 0; endpoint < settings.endpoints; ++endpoint)
            m_endpoints.emplace_back(m_events, m_settings);
        for (int64_t router = 0; router < settings.routers; ++router)
            m_routers.push_back(std::make_unique<ReplayRouter>(m_events, m_settings, m_endpoints, static_cast<uint64_t>(router)));
    }

    ReplayResult run()
    {
        scheduleArrival();
        for (size_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
            // Endpoints are read one after the other within a period.
            std::chrono::microseconds offset(m_settings.reportPeriodMs * 1000 * static_cast<int64_t>(endpoint) / m_settings.endpoints);
            m_events.schedule(TimePoint {} + offset, [this, endpoint] { readLoad(endpoint); });
        }
        while (m_events.runOne()) { }
        return summary();
    }

private:
    void scheduleArrival()
    {
        m_requests.push_back(m_source.next());
        ReplayRequest& request = m_requests.back();
        m_events.schedule(request.arrival, [this, &request] {
            if (static_cast<int64_t>(m_requests.size()) < m_settings.requests)
                scheduleArrival();
            m_routers[m_source.routerFor(request)]->receive(request);
        });
    }

    void readLoad(size_t endpoint)
    {
        TimePoint at = m_events.now();
        int64_t load = m_endpoints[endpoint].load();
        m_events.schedule(at + std::chrono::milliseconds(m_settings.reportLagMs), [this, endpoint, load, at] {
            for (const std::unique_ptr<ReplayRouter>& router : m_routers)
                router->report(endpoint, load, at);
        });
        // The last held requests still need reports until their deadlines.
        TimePoint end = m_requests.back().deadline.at();
        if (static_cast<int64_t>(m_requests.size()) < m_settings.requests || at < end)
            m_events.schedule(at + std::chrono::milliseconds(m_settings.reportPeriodMs), [this, endpoint] { readLoad(endpoint); });
    }

    ReplayResult summary() const
    {
        ReplayResult result;
        std::vector<double> times;
        // The first tenth fills the caches, and the last tenth is served while no further requests arrive.
        size_t tenth = m_requests.size() / 10;
        for (size_t index = tenth; index < m_requests.size() - tenth; ++index) {
            const ReplayRequest& request = m_requests[index];
            result.shed += request.isShed ? 1 : 0;
            if (!request.firstTokenAt)
                continue;
            ++result.answered;
            result.prefixHits += request.isPrefixHit ? 1 : 0;
            times.push_back(std::chrono::duration<double, std::milli>(*request.firstTokenAt - request.arrival).count());
        }
        std::sort(times.begin(), times.end());
        if (times.empty())
            return result;
        result.firstTokenMedianMs = times[times.size() / 2];
        result.firstToken95Ms = times[times.size() * 95 / 100];
        return result;
    }

    const RoutingReplaySettings& m_settings;
    ReplayEventQueue m_events;
    RequestSource m_source;
    std::vector<ReplayEndpoint> m_endpoints;
    std::vector<std::unique_ptr<ReplayRouter>> m_routers;
    // A deque, because events refer to its elements.
    std::deque<ReplayRequest> m_requests;
};

}

ReplayResult replayRouting(const RoutingReplaySettings& settings)
{
    return Replay(settings).run();
}

}
