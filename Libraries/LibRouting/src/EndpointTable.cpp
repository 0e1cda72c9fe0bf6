#include "LibRouting/EndpointTable.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Routing {

// Bounds the memory use for an endpoint without load reports.
static constexpr size_t maxEndedRequests = 4096;
// With a larger multiplier, a single own request would make an endpoint appear full.
static constexpr int64_t maxOwnRequestMultiplier = 8;

EndpointTable::EndpointTable(EjectionSettings settings)
    : m_settings(settings)
{
}

void EndpointTable::setEndpoints(const std::map<std::string, Intent::Endpoint>& endpoints)
{
    for (std::pair<const std::string, Entry>& entry : m_entries)
        entry.second.isConfigured = endpoints.contains(entry.first);
    std::erase_if(m_entries, [](const std::pair<const std::string, Entry>& entry) {
        return !entry.second.isConfigured && entry.second.inFlight.empty();
    });
    for (const std::pair<const std::string, Intent::Endpoint>& configured : endpoints) {
        Entry& entry = m_entries[configured.first];
        // A new address means a different server, so earlier reports and failures do not apply.
        if (entry.isConfigured && entry.record.address != configured.second.address) {
            entry.health = {};
            entry.reportedRequests = 0;
            entry.reportedAt.reset();
        }
        entry.record = configured.second;
        entry.nameHash = Core::hash64(configured.first);
        entry.isConfigured = true;
    }
}

void EndpointTable::setDaemonCount(int64_t daemons)
{
    m_ownRequestMultiplier = std::clamp<int64_t>(daemons, 1, maxOwnRequestMultiplier);
}

void EndpointTable::recordLoadReport(const std::string& endpoint, int64_t requests, TimePoint at)
{
    std::map<std::string, Entry>::iterator found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    if (entry.reportedAt && at < *entry.reportedAt)
        return;
    entry.reportedRequests = requests;
    entry.reportedAt = at;
    entry.startedSinceReport = 0;
    for (std::map<uint64_t, TimePoint>::reverse_iterator request = entry.inFlight.rbegin(); request != entry.inFlight.rend(); ++request) {
        if (request->second <= at)
            break;
        ++entry.startedSinceReport;
    }
    while (!entry.ended.empty() && entry.ended.front().endedAt <= at)
        entry.ended.pop_front();
    entry.endedSinceReport = std::count_if(entry.ended.begin(), entry.ended.end(), [at](const EndedRequest& request) { return request.startedAt <= at; });
}

RequestTicket EndpointTable::recordStart(const std::string& endpoint, TimePoint now)
{
    Entry& entry = m_entries[endpoint];
    RequestTicket ticket { endpoint, ++m_lastNumber, now, entry.health.recordStart(now) };
    entry.inFlight[ticket.number] = now;
    ++entry.startedSinceReport;
    return ticket;
}

void EndpointTable::recordEnd(const RequestTicket& ticket, RequestResult result, TimePoint now)
{
    std::map<std::string, Entry>::iterator found = m_entries.find(ticket.endpoint);
    if (found == m_entries.end() || found->second.inFlight.erase(ticket.number) == 0)
        return;
    Entry& entry = found->second;
    bool isReported = entry.reportedAt && ticket.startedAt <= *entry.reportedAt;
    if (isReported)
        ++entry.endedSinceReport;
    else
        --entry.startedSinceReport;
    entry.ended.push_back({ ticket.startedAt, now });
    if (entry.ended.size() > maxEndedRequests)
        entry.ended.pop_front();
    if (result == RequestResult::Success)
        entry.health.recordSuccess(m_settings, ticket.isProbe, now);
    else if (result == RequestResult::Failure)
        entry.health.recordFailure(m_settings, ticket.isProbe, mayEject(now), now);
    else
        entry.health.recordNeutral(ticket.isProbe);
    if (!entry.isConfigured && entry.inFlight.empty())
        m_entries.erase(found);
}

bool EndpointTable::mayEject(TimePoint now) const
{
    int64_t configured = 0;
    int64_t ejected = 0;
    for (const std::pair<const std::string, Entry>& entry : m_entries) {
        configured += entry.second.isConfigured ? 1 : 0;
        ejected += entry.second.isConfigured && entry.second.health.isEjectedAt(now) ? 1 : 0;
    }
    return (ejected + 1) * 100 <= configured * m_settings.maxEjectedPercent;
}

std::vector<Candidate> EndpointTable::candidates(const std::string& model, TimePoint now) const
{
    std::vector<Candidate> candidates;
    candidates.reserve(m_entries.size());
    for (const std::pair<const std::string, Entry>& named : m_entries) {
        const Entry& entry = named.second;
        const std::vector<std::string>& models = entry.record.models;
        bool isServing = entry.isConfigured && entry.record.kind == Intent::EndpointKind::Engine
            && std::find(models.begin(), models.end(), model) != models.end();
        if (!isServing)
            continue;
        double weight = entry.record.slots * entry.health.trafficShareAt(m_settings, now);
        candidates.push_back({ named.first, entry.nameHash, static_cast<double>(loadOf(entry)), weight });
    }
    return candidates;
}

int64_t EndpointTable::loadOf(const Entry& entry) const
{
    int64_t sinceReport = entry.startedSinceReport - entry.endedSinceReport;
    int64_t load = entry.reportedRequests + m_ownRequestMultiplier * sinceReport;
    return std::max(load, static_cast<int64_t>(entry.inFlight.size()));
}

int64_t EndpointTable::loadOf(const std::string& endpoint) const
{
    std::map<std::string, Entry>::const_iterator found = m_entries.find(endpoint);
    return found == m_entries.end() ? 0 : loadOf(found->second);
}

int64_t EndpointTable::inFlight(const std::string& endpoint) const
{
    std::map<std::string, Entry>::const_iterator found = m_entries.find(endpoint);
    return found == m_entries.end() ? 0 : static_cast<int64_t>(found->second.inFlight.size());
}

bool EndpointTable::isEjected(const std::string& endpoint, TimePoint now) const
{
    std::map<std::string, Entry>::const_iterator found = m_entries.find(endpoint);
    return found != m_entries.end() && found->second.health.isEjectedAt(now);
}

}
