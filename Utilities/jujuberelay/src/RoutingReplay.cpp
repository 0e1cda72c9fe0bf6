#include "RoutingReplay.h"

#include "LibCore/Hash.h"
#include "ReplayRouter.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

namespace Commands {

using TimePoint = Measure::Time;

namespace {

// Generates random requests, independently of the routing policy.
class RequestSource {
public:
    explicit RequestSource(const ReplaySettings& settings)
        : m_settings(settings)
        , m_generator(settings.seed)
        , m_uniqueTokens(1.0 / static_cast<double>(settings.uniqueTokens))
        , m_answerTokens(1.0 / static_cast<double>(settings.answerTokens))
        , m_interarrivalSeconds(arrivalsPerSecond(settings))
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
        m_at += std::chrono::duration_cast<Core::SteadyClock::duration>(std::chrono::duration<double>(m_interarrivalSeconds(m_generator)));
        request.arrival = m_at;
        request.deadline = Core::Deadline(m_at + std::chrono::milliseconds(m_settings.firstTokenLimitMs));
        request.prefix = m_prefix(m_generator);
        request.uniqueTokens = 1 + static_cast<int64_t>(m_uniqueTokens(m_generator));
        request.answerTokens = 1 + static_cast<int64_t>(m_answerTokens(m_generator));
        return request;
    }

    uint64_t routerFor(const ReplayRequest& request) const
    {
        return Core::hash64("arrival " + std::to_string(request.number), m_settings.seed) % static_cast<uint64_t>(m_settings.routers);
    }

private:
    static double arrivalsPerSecond(const ReplaySettings& settings)
    {
        double promptTokens = static_cast<double>(settings.prefixTokens + settings.uniqueTokens);
        double serviceMs = promptTokens * static_cast<double>(settings.prefillMsPer1000Tokens) / 1000
            + static_cast<double>(settings.answerTokens * settings.timePerTokenMs);
        double capacity = static_cast<double>(settings.endpoints * settings.slots) * 1000 / serviceMs;
        return capacity * static_cast<double>(settings.loadPercent) / 100;
    }

    const ReplaySettings& m_settings;
    std::mt19937_64 m_generator;
    std::exponential_distribution<double> m_uniqueTokens;
    std::exponential_distribution<double> m_answerTokens;
    std::exponential_distribution<double> m_interarrivalSeconds;
    std::discrete_distribution<uint64_t> m_prefix;
    TimePoint m_at {};
    uint64_t m_number { 0 };
};

class Replay {
public:
    explicit Replay(const ReplaySettings& settings)
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
            // The samples of the endpoints are spread evenly over a period.
            std::chrono::microseconds offset(m_settings.reportPeriodMs * 1000 * static_cast<int64_t>(endpoint) / m_settings.endpoints);
            m_events.scheduleAt(TimePoint {} + offset, [this, endpoint] { readLoad(endpoint); });
        }
        while (m_events.runNext()) { }
        return summary();
    }

private:
    void scheduleArrival()
    {
        m_requests.push_back(m_source.next());
        ReplayRequest& request = m_requests.back();
        m_events.scheduleAt(request.arrival, [this, &request] {
            if (static_cast<int64_t>(m_requests.size()) < m_settings.requests)
                scheduleArrival();
            m_routers[m_source.routerFor(request)]->handleArrival(request);
        });
    }

    void readLoad(size_t endpoint)
    {
        TimePoint at = m_events.now();
        int64_t load = m_endpoints[endpoint].load();
        m_events.scheduleAt(at + std::chrono::milliseconds(m_settings.reportLagMs), [this, endpoint, load, at] {
            for (const std::unique_ptr<ReplayRouter>& router : m_routers)
                router->recordLoadReport(endpoint, load, at);
        });
        // Held requests depend on load reports until their deadlines.
        TimePoint end = m_requests.back().deadline.at();
        if (static_cast<int64_t>(m_requests.size()) < m_settings.requests || at < end)
            m_events.scheduleAt(at + std::chrono::milliseconds(m_settings.reportPeriodMs), [this, endpoint] { readLoad(endpoint); });
    }

    ReplayResult summary() const
    {
        ReplayResult result;
        std::vector<double> times;
        // Excludes the cache warm-up and the drain phase, in which no further requests arrive.
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
        result.firstTokenP50Ms = times[times.size() / 2];
        result.firstTokenP95Ms = times[times.size() * 95 / 100];
        return result;
    }

    const ReplaySettings& m_settings;
    Measure::EventQueue m_events;
    RequestSource m_source;
    std::vector<ReplayEndpoint> m_endpoints;
    std::vector<std::unique_ptr<ReplayRouter>> m_routers;
    // A deque, because events refer to its elements.
    std::deque<ReplayRequest> m_requests;
};

}

ReplayResult replayRouting(const ReplaySettings& settings)
{
    return Replay(settings).run();
}

}
