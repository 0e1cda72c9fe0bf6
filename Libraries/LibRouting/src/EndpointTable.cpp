#include "LibRouting/EndpointTable.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Routing {

// Bounds the memory when an endpoint's load reports cease.
static constexpr size_t maxEndedRequests = 4096;
// Beyond this, a single own request would make an endpoint look full.
static constexpr int64_t largestUnreportedFactor = 8;

EndpointTable::EndpointTable(EjectionSettings settings)
    : m_settings(settings)
{
}

void EndpointTable::adopt(const std::map<std::string, Intent::Endpoint>& endpoints)
{
    for (std::pair<const std::string, Entry>& entry : m_entries)
        entry.second.isIntended = endpoints.contains(entry.first);
    std::erase_if(m_entries, [](const std::pair<const std::string, Entry>& entry) {
        return !entry.second.isIntended && entry.second.inFlight.empty();
    });
    for (const std::pair<const std::string, Intent::Endpoint>& intended : endpoints) {
        Entry& entry = m_entries[intended.first];
        // At another address there is another server, to which neither the reports nor the failures apply.
        if (entry.isIntended && entry.record.address != intended.second.address) {
            entry.health = {};
            entry.reportedRequests = 0;
            entry.reportedAt.reset();
        }
        entry.record = intended.second;
        entry.key = Core::hash64(intended.first);
        entry.isIntended = true;
    }
}

void EndpointTable::setSharingDaemons(int64_t daemons)
{
    m_unreportedFactor = std::clamp<int64_t>(daemons, 1, largestUnreportedFactor);
}

void EndpointTable::recordReport(const std::string& endpoint, int64_t requests, TimePoint at)
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

void EndpointTable::recordEnd(const RequestTicket& ticket, RequestEnd end, TimePoint now)
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
    if (end == RequestEnd::Success)
        entry.health.recordSuccess(m_settings, ticket.isProbe, now);
    else if (end == RequestEnd::Failure)
        entry.health.recordFailure(m_settings, ticket.isProbe, mayEject(now), now);
    else
        entry.health.recordNeutral(ticket.isProbe);
    if (!entry.isIntended && entry.inFlight.empty())
        m_entries.erase(found);
}

bool EndpointTable::mayEject(TimePoint now) const
{
    int64_t intended = 0;
    int64_t ejected = 0;
    for (const std::pair<const std::string, Entry>& entry : m_entries) {
        intended += entry.second.isIntended ? 1 : 0;
        ejected += entry.second.isIntended && entry.second.health.isEjectedAt(now) ? 1 : 0;
    }
    return (ejected + 1) * 100 <= intended * m_settings.maxEjectedPercent;
}

std::vector<Candidate> EndpointTable::candidates(const std::string& model, TimePoint now) const
{
    std::vector<Candidate> candidates;
    candidates.reserve(m_entries.size());
    for (const std::pair<const std::string, Entry>& named : m_entries) {
        const Entry& entry = named.second;
        const std::vector<std::string>& models = entry.record.models;
        bool isServing = entry.isIntended && entry.record.kind == Intent::EndpointKind::Engine
            && std::find(models.begin(), models.end(), model) != models.end();
        if (!isServing)
            continue;
        double weight = entry.record.slots * entry.health.shareAt(m_settings, now);
        candidates.push_back({ named.first, entry.key, static_cast<double>(loadOf(entry)), weight });
    }
    return candidates;
}

int64_t EndpointTable::loadOf(const Entry& entry) const
{
    int64_t sinceReport = entry.startedSinceReport - entry.endedSinceReport;
    int64_t load = entry.reportedRequests + m_unreportedFactor * sinceReport;
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
