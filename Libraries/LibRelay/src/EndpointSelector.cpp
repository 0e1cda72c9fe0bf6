#include "LibRelay/EndpointSelector.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <cmath>

namespace Relay {

using TimePoint = Core::SteadyClock::time_point;

// Half-life of the failure rate.
static constexpr double failureHalfLifeSeconds = 2.0;
// Weight of the latest request in the failure rate.
static constexpr double failureWeight = 0.25;
// Endpoints with a higher failure rate are used only if no healthy one is left.
static constexpr double maxFailureRate = 0.3;
// An endpoint with requests in flight that has sent no data for this long is considered unresponsive.
static constexpr std::chrono::milliseconds unresponsiveLimit(1'000);
static constexpr std::chrono::milliseconds suspectDuration(1'000);
// An endpoint that refused a request because it is overloaded is avoided for this long.
static constexpr std::chrono::milliseconds overloadBackoff(150);
// Cost of an endpoint in another failure domain, in requests. Below one, so that it only breaks ties.
static constexpr double crossDomainCost = 0.9;
// Cost of a failure rate of 1, in requests in flight.
static constexpr double failureCost = 4;
// Prompt affinity uses rendezvous hashing with bounded loads: an endpoint may carry this multiple of the mean load, plus
// the slack below.
static constexpr double boundedLoadFactor = 1.5;
// Requests of this daemon that an endpoint may carry on top before its prompts go to the next endpoint in hash order.
static constexpr double boundedLoadSlack = 3;

// An empty set, so that the choice needs no check for a missing one.
static const EvacuationSet& noEvacuations()
{
    static const EvacuationSet set({}, {});
    return set;
}

EndpointSelector::EndpointSelector(const EndpointDirectory& directory, std::string failureDomain, ColdAllowance coldAllowance)
    : m_directory(directory)
    , m_failureDomain(std::move(failureDomain))
    , m_evacuations(&noEvacuations())
    , m_cold(coldAllowance)
{
}

const EndpointSelector::EndpointState* EndpointSelector::find(const std::string& endpoint) const
{
    auto it = m_states.find(endpoint);
    return it == m_states.end() ? nullptr : &it->second;
}

double EndpointSelector::failureRateAt(const EndpointState& state, TimePoint now)
{
    double elapsed = std::chrono::duration<double>(now - state.failureRateUpdatedAt).count();
    return state.failureRate * std::exp2(-std::min(elapsed, 60.0) / failureHalfLifeSeconds);
}

bool EndpointSelector::isHealthy(const Endpoint& endpoint, TimePoint now) const
{
    const EndpointState* state = find(endpoint.id);
    if (!state)
        return true;
    return now >= state->suspectUntil && now >= state->overloadedUntil && failureRateAt(*state, now) < maxFailureRate && !isUnresponsive(endpoint.id, now);
}

bool EndpointSelector::isUnresponsive(const std::string& endpoint, TimePoint now) const
{
    const EndpointState* state = find(endpoint);
    return state && state->inFlight > 0 && now - state->lastBytesAt > unresponsiveLimit;
}

double EndpointSelector::cost(const Endpoint& endpoint, TimePoint now) const
{
    const EndpointState* state = find(endpoint.id);
    double cost = state ? static_cast<double>(state->inFlight) + failureCost * failureRateAt(*state, now) : 0;
    if (endpoint.failureDomain != m_failureDomain)
        cost += crossDomainCost;
    return cost;
}

bool EndpointSelector::isEligible(const Endpoint& endpoint, const SelectionQuery& query, const ColdState& cold, TimePoint now) const
{
    return endpoint.service == query.service && !endpoint.isLeaving && !isPaused(endpoint, now) && !isEvacuated(endpoint) && !query.excluded.contains(endpoint.id)
        && !(query.isUnlimitedOnly && requestLimit(endpoint, cold)) && (!query.softwareVersion || endpoint.softwareVersion == *query.softwareVersion);
}

bool EndpointSelector::isCandidate(const Endpoint& endpoint, const SelectionQuery& query, const ColdState& cold, TimePoint now) const
{
    return isEligible(endpoint, query, cold, now) && noPermitUntil(endpoint, cold) <= now;
}

std::optional<double> EndpointSelector::requestLimit(const Endpoint& endpoint, const ColdState& cold) const
{
    std::optional<double> named = m_limits.limitOf(endpoint);
    return named && cold.limit ? std::min(*named, *cold.limit) : named ? named
                                                                       : cold.limit;
}

TimePoint EndpointSelector::noPermitUntil(const Endpoint& endpoint, const ColdState& cold) const
{
    const EndpointState* state = find(endpoint.id);
    TimePoint refusedUntil = state && requestLimit(endpoint, cold) ? state->noPermitUntil : TimePoint {};
    return std::max(refusedUntil, cold.quietUntil);
}

std::optional<TimePoint> EndpointSelector::nextPermitAt(const SelectionQuery& query, TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto& [id, endpoint] : m_directory.endpoints()) {
        ColdState cold = m_cold.stateOf(endpoint, now);
        if (isEligible(endpoint, query, cold, now))
            next = std::min(next.value_or(TimePoint::max()), noPermitUntil(endpoint, cold));
    }
    return next;
}

bool EndpointSelector::hasHealthy(const SelectionQuery& query, TimePoint now) const
{
    return std::any_of(m_directory.endpoints().begin(), m_directory.endpoints().end(),
        [this, &query, now](const auto& entry) { return isCandidate(entry.second, query, m_cold.stateOf(entry.second, now), now) && isHealthy(entry.second, now); });
}

bool EndpointSelector::isPaused(const Endpoint& endpoint, TimePoint now) const
{
    auto it = m_pauses.find(endpoint.id);
    return it != m_pauses.end() && now < it->second.until && endpoint.isWithinLifeOf(it->second.processStartMs);
}

std::optional<TimePoint> EndpointSelector::takesRequestsAt(const std::string& service, TimePoint now, const std::optional<std::string>& softwareVersion) const
{
    std::optional<TimePoint> first;
    for (const auto& [id, endpoint] : m_directory.endpoints()) {
        if (endpoint.service != service || endpoint.isLeaving || isEvacuated(endpoint) || (softwareVersion && endpoint.softwareVersion != *softwareVersion))
            continue;
        TimePoint until = std::max(noPermitUntil(endpoint, m_cold.stateOf(endpoint, now)), isPaused(endpoint, now) ? m_pauses.at(id).until : TimePoint {});
        if (until <= now)
            return std::nullopt;
        first = std::min(first.value_or(until), until);
    }
    return first;
}

bool EndpointSelector::isServed(const std::string& service, const std::string& softwareVersion) const
{
    return std::any_of(m_directory.endpoints().begin(), m_directory.endpoints().end(), [&](const auto& entry) {
        return entry.second.service == service && entry.second.softwareVersion == softwareVersion && !entry.second.isLeaving;
    });
}

bool EndpointSelector::isSameProcess(const Endpoint& endpoint) const
{
    const Endpoint* registered = m_directory.find(endpoint.id);
    return !registered || (registered->softwareVersion == endpoint.softwareVersion && registered->startedAtMs == endpoint.startedAtMs);
}

size_t EndpointSelector::evacuatedEndpoints(const std::string& service) const
{
    return static_cast<size_t>(std::count_if(m_directory.endpoints().begin(), m_directory.endpoints().end(),
        [this, &service](const auto& entry) { return entry.second.service == service && isEvacuated(entry.second); }));
}

const Endpoint* EndpointSelector::choose(const SelectionQuery& query, TimePoint now) const
{
    if (m_engineChooser && query.isEngine && query.prompt) {
        if (const Endpoint* engine = chooseEngine(query, now))
            return engine;
    }
    std::vector<const Endpoint*> candidates;
    std::vector<const Endpoint*> cold;
    std::vector<const Endpoint*> unhealthy;
    std::vector<const Endpoint*> unrecorded;
    for (const auto& [id, endpoint] : m_directory.endpoints()) {
        ColdState coldState = m_cold.stateOf(endpoint, now);
        if (!isCandidate(endpoint, query, coldState, now))
            continue;
        if (isVersionUnrecorded(endpoint, query))
            unrecorded.push_back(&endpoint);
        else if (!isHealthy(endpoint, now))
            unhealthy.push_back(&endpoint);
        else
            (coldState.isCold ? cold : candidates).push_back(&endpoint);
    }
    // A cold endpoint is slow and keeps no prompt parts, so that it gets only what no healthy warm one takes.
    if (candidates.empty())
        candidates = std::move(cold);
    if (candidates.empty())
        candidates = std::move(unhealthy);
    if (candidates.empty())
        candidates = std::move(unrecorded);
    if (candidates.empty())
        return nullptr;
    if (query.affinity != 0)
        return chooseByAffinity(candidates, query.affinity);
    return chooseByCost(candidates, now);
}

void EndpointSelector::predictEngineLoad()
{
    m_engineLoad = std::make_unique<EngineLoadModel>();
    m_engineChooser = std::make_unique<EngineChooser>(*m_engineLoad);
}

// Checks only the few engines that the chooser looks at, since the checks look up each engine's state.
const Endpoint* EndpointSelector::chooseEngine(const SelectionQuery& query, TimePoint now) const
{
    std::vector<const Endpoint*> engines;
    engines.reserve(m_directory.endpoints().size());
    for (const auto& [id, endpoint] : m_directory.endpoints()) {
        if (endpoint.service == query.service && !endpoint.isLeaving && (!query.softwareVersion || endpoint.softwareVersion == *query.softwareVersion)
            && !isVersionUnrecorded(endpoint, query))
            engines.push_back(&endpoint);
    }
    auto isUsable = [&](const Endpoint& engine) {
        ColdState cold = m_cold.stateOf(engine, now);
        return !cold.isCold && isCandidate(engine, query, cold, now) && isHealthy(engine, now);
    };
    return m_engineChooser->choose(engines, *query.prompt, isUsable, now);
}

// The first endpoint in rendezvous order of the prompt that does not carry more than its bound.
const Endpoint* EndpointSelector::chooseByAffinity(const std::vector<const Endpoint*>& candidates, uint64_t affinity) const
{
    std::vector<size_t> loads;
    loads.reserve(candidates.size());
    size_t total = 0;
    for (const Endpoint* candidate : candidates) {
        loads.push_back(inFlight(candidate->id));
        total += loads.back();
    }
    double bound = boundedLoadSlack + boundedLoadFactor * static_cast<double>(total) / static_cast<double>(candidates.size());
    const Endpoint* best = nullptr;
    uint64_t highest = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (static_cast<double>(loads[i]) > bound)
            continue;
        uint64_t weight = Core::hash64(candidates[i]->id, affinity);
        if (!best || weight > highest) {
            best = candidates[i];
            highest = weight;
        }
    }
    // The bound is above the mean load, so at least one endpoint is within it.
    return best;
}

const Endpoint* EndpointSelector::chooseByCost(const std::vector<const Endpoint*>& candidates, TimePoint now) const
{
    size_t start = Core::randomBelow(candidates.size());
    const Endpoint* best = candidates[start];
    double lowest = cost(*best, now);
    for (size_t i = 1; i < candidates.size(); ++i) {
        const Endpoint* candidate = candidates[(start + i) % candidates.size()];
        double candidateCost = cost(*candidate, now);
        if (candidateCost < lowest) {
            best = candidate;
            lowest = candidateCost;
        }
    }
    return best;
}

size_t EndpointSelector::inFlight(const std::string& endpoint) const
{
    const EndpointState* state = find(endpoint);
    return state ? state->inFlight : 0;
}

TimePoint EndpointSelector::lastBytesAt(const std::string& endpoint) const
{
    const EndpointState* state = find(endpoint);
    return state ? state->lastBytesAt : TimePoint {};
}

void EndpointSelector::recordStart(const std::string& endpoint, TimePoint now)
{
    EndpointState& state = m_states[endpoint];
    if (state.inFlight == 0)
        state.lastBytesAt = now;
    ++state.inFlight;
}

void EndpointSelector::recordBytes(const std::string& endpoint, TimePoint now)
{
    m_states[endpoint].lastBytesAt = now;
}

void EndpointSelector::recordEnd(const std::string& endpoint, End end, TimePoint now)
{
    EndpointState& state = m_states[endpoint];
    if (state.inFlight > 0)
        --state.inFlight;
    if (end == End::Neutral)
        return;
    bool failed = end == End::Failure;
    state.failureRate = failureRateAt(state, now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    state.failureRateUpdatedAt = now;
    if (failed && now - state.lastBytesAt > unresponsiveLimit)
        state.suspectUntil = now + suspectDuration;
}

void EndpointSelector::recordPermitRefusal(const std::string& endpoint, TimePoint until)
{
    m_states[endpoint].noPermitUntil = until;
}

void EndpointSelector::recordOverload(const std::string& endpoint, TimePoint now)
{
    m_states[endpoint].overloadedUntil = now + overloadBackoff;
    if (m_engineLoad)
        m_engineLoad->recordRefusal(endpoint, now);
}

bool EndpointSelector::recordPause(const Endpoint& endpoint, TimePoint until, TimePoint now)
{
    std::erase_if(m_pauses, [now](const auto& entry) { return now >= entry.second.until; });
    if (until <= now)
        return false;
    Pause& pause = m_pauses[endpoint.id];
    if (!endpoint.isWithinLifeOf(pause.processStartMs))
        pause = {};
    // An answer of an earlier process says nothing about this one.
    bool isOutdated = endpoint.startedAtMs != 0 && endpoint.startedAtMs < pause.processStartMs;
    if (isOutdated || until <= pause.until)
        return false;
    pause = { std::max(pause.processStartMs, endpoint.startedAtMs), until };
    return true;
}

void EndpointSelector::forget(const std::string& endpoint)
{
    m_states.erase(endpoint);
    m_limits.forget(endpoint);
    m_cold.forget(endpoint);
    if (m_engineLoad)
        m_engineLoad->forget(endpoint);
    // Without a start time, the next registration under this id is a new process.
    auto pause = m_pauses.find(endpoint);
    if (pause != m_pauses.end() && pause->second.processStartMs == 0)
        m_pauses.erase(pause);
}

}
