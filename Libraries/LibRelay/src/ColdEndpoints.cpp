#include "LibRelay/ColdEndpoints.h"

#include "LibRelay/PermitService.h"
#include <algorithm>
#include <utility>

namespace Relay {

using std::chrono::milliseconds;
using TimePoint = ColdEndpoints::TimePoint;

// Daemons learn of a change in the store within about this time of each other.
static constexpr milliseconds quietTime(500);
// Time from the end of the cold time to the end of the limit.
static constexpr milliseconds returnTime(2'000);
// Part of what one second may bring that is left to daemons that do not know that the endpoint is cold, to those without an issuer, and
// to requests that travel longer than others. With 0.25 a generated sequence of 60 daemons exceeded the allowance by one request.
static constexpr double reservedFraction = 0.35;
// Requests in flight, as a part of the slots, from which endpoints count as full.
static constexpr double fullFraction = 0.75;
// How long a process that is no longer registered is remembered.
static constexpr std::chrono::minutes processRetention(10);

// The permits that can arrive in one second are those of a second, of the issuer's burst and of the age at which a permit is used,
// and one more.
static double permitRate(double coldPerSecond, const ColdAllowance& allowance)
{
    double inOneSecond = coldPerSecond * allowance.overage + allowance.extra;
    std::chrono::duration<double> issuing = std::chrono::seconds(1) + PermitService::issuerBurst + ColdEndpoints::maxPermitAge;
    return std::clamp((inOneSecond * (1 - reservedFraction) - 1) / issuing.count(), 0.0, coldPerSecond);
}

void ColdEndpoints::setServices(const std::map<std::string, Service>& services)
{
    m_hasServices = true;
    m_limits.clear();
    for (const auto& [name, service] : services) {
        if (service.coldPerSecond > 0)
            m_limits.emplace(name, Limit { permitRate(service.coldPerSecond, m_allowance), milliseconds(service.coldTimeMs) });
    }
    m_activeUntil = {};
    for (const auto& [id, process] : m_processes)
        extendActive(process);
}

const ColdEndpoints::Limit* ColdEndpoints::limitOfService(const std::string& service) const
{
    auto it = m_limits.find(service);
    return it == m_limits.end() ? nullptr : &it->second;
}

const ColdEndpoints::Process* ColdEndpoints::find(const Endpoint& endpoint) const
{
    auto it = m_processes.find(endpoint.id);
    return it == m_processes.end() ? nullptr : &it->second;
}

void ColdEndpoints::extendActive(const Process& process)
{
    if (limitOfService(process.service))
        m_activeUntil = std::max(m_activeUntil, coldUntil(process) + returnTime);
}

TimePoint ColdEndpoints::coldUntil(const Process& process) const
{
    const Limit* limit = limitOfService(process.service);
    TimePoint assumedUntil = process.assumedSince && limit ? *process.assumedSince + limit->coldTime : TimePoint {};
    return std::max(process.coldUntil, assumedUntil);
}

void ColdEndpoints::noteCold(const Endpoint& endpoint, std::string detail)
{
    m_notices.push_back({ ColdNotice::Kind::Cold, endpoint.id, endpoint.service, std::move(detail) });
}

void ColdEndpoints::noteUnreadable(const Endpoint& endpoint)
{
    m_notices.push_back({ ColdNotice::Kind::Unreadable, endpoint.id, endpoint.service, endpoint.coldLeftFault.empty() ? "missing" : endpoint.coldLeftFault });
}

void ColdEndpoints::observe(const Endpoint& endpoint, uint64_t version, TimePoint now, bool isFirstListing)
{
    auto known = m_processes.find(endpoint.id);
    if (known == m_processes.end()) {
        for (auto& [id, process] : m_processes) {
            if (!process.isRegistered && !process.removedAt)
                process.removedAt = now;
        }
        std::erase_if(m_processes, [now](const auto& entry) { return entry.second.removedAt && now - *entry.second.removedAt >= processRetention; });
        Process& process = m_processes[endpoint.id];
        adoptNewProcess(endpoint, process, now, !isFirstListing);
        process.version = version;
        extendActive(process);
        return;
    }
    Process& process = known->second;
    bool isOutdated = endpoint.startedAtMs != 0 && endpoint.startedAtMs < process.startedAtMs;
    if (isOutdated)
        return;
    process.isRegistered = true;
    process.removedAt.reset();
    if (!endpoint.isWithinLifeOf(process.startedAtMs)) {
        process = {};
        adoptNewProcess(endpoint, process, now, true);
        // Requests that were meant for the earlier process may have reached this one.
        process.quietUntil = now + quietTime;
        process.version = version;
        extendActive(process);
        return;
    }
    process.startedAtMs = std::max(process.startedAtMs, endpoint.startedAtMs);
    process.service = endpoint.service;
    if (version < process.version)
        return;
    bool isNewVersion = version > process.version;
    process.version = version;
    adoptStatement(endpoint, process, now, isNewVersion);
    extendActive(process);
}

void ColdEndpoints::adoptNewProcess(const Endpoint& endpoint, Process& process, TimePoint now, bool isSeenToStart)
{
    process.service = endpoint.service;
    process.startedAtMs = endpoint.startedAtMs;
    process.coldLeftMs = endpoint.coldLeftMs;
    if (!endpoint.coldLeftMs)
        noteUnreadable(endpoint);
    else if (*endpoint.coldLeftMs > 0)
        process.coldUntil = now + milliseconds(*endpoint.coldLeftMs);
    if (isSeenToStart || !endpoint.coldLeftMs)
        process.assumedSince = now;
    if (process.coldUntil > now || process.assumedSince)
        noteCold(endpoint, isSeenToStart ? "new_process" : endpoint.coldLeftMs ? "entry"
                                                                               : "unreadable_entry");
}

void ColdEndpoints::adoptStatement(const Endpoint& endpoint, Process& process, TimePoint now, bool isNewVersion)
{
    // An entry may be written again for another reason, with the cold time that it had. It must not extend the cold time, but after its
    // end it may also mean that the endpoint has become cold again. Heartbeats change an entry without a new version.
    bool isUnchanged = process.coldLeftMs == endpoint.coldLeftMs;
    TimePoint end = coldUntil(process);
    if (isUnchanged && (now < end || !isNewVersion || !endpoint.coldLeftMs))
        return;
    process.coldLeftMs = endpoint.coldLeftMs;
    if (!endpoint.coldLeftMs) {
        process.assumedSince = now;
        noteUnreadable(endpoint);
    } else {
        process.assumedSince.reset();
        process.coldUntil = *endpoint.coldLeftMs > 0 ? now + milliseconds(*endpoint.coldLeftMs) : std::min(end, now);
    }
    bool wasCold = now < end;
    if (wasCold || now >= coldUntil(process))
        return;
    process.quietUntil = now + quietTime;
    noteCold(endpoint, endpoint.coldLeftMs ? "entry" : "unreadable_entry");
}

void ColdEndpoints::recordAnswer(const Endpoint& endpoint, milliseconds left, TimePoint now)
{
    auto known = m_processes.find(endpoint.id);
    if (known == m_processes.end() || !limitOfService(endpoint.service) || left <= milliseconds(0))
        return;
    Process& process = known->second;
    if (endpoint.startedAtMs != process.startedAtMs)
        return;
    bool wasCold = now < coldUntil(process);
    process.coldUntil = std::max(process.coldUntil, now + left);
    extendActive(process);
    if (wasCold)
        return;
    process.quietUntil = now + quietTime;
    noteCold(endpoint, "answer");
}

void ColdEndpoints::forget(const std::string& endpoint)
{
    auto it = m_processes.find(endpoint);
    if (it == m_processes.end())
        return;
    // Without a start time, the next registration under this id is a new process.
    if (it->second.startedAtMs == 0)
        m_processes.erase(it);
    else
        it->second.isRegistered = false;
}

bool ColdEndpoints::isCold(const Endpoint& endpoint, TimePoint now) const
{
    if (now >= m_activeUntil || !limitOfService(endpoint.service))
        return false;
    const Process* process = find(endpoint);
    return process && now < coldUntil(*process);
}

std::optional<double> ColdEndpoints::limitOf(const Endpoint& endpoint, TimePoint now) const
{
    const Limit* limit = now >= m_activeUntil ? nullptr : limitOfService(endpoint.service);
    const Process* process = limit ? find(endpoint) : nullptr;
    if (!process)
        return std::nullopt;
    TimePoint end = coldUntil(*process);
    if (end == TimePoint {} || now >= end + returnTime)
        return std::nullopt;
    return limit->perSecond;
}

TimePoint ColdEndpoints::quietUntil(const Endpoint& endpoint, TimePoint now) const
{
    const Process* process = now >= m_activeUntil || !limitOfService(endpoint.service) ? nullptr : find(endpoint);
    return process ? process->quietUntil : TimePoint {};
}

bool ColdEndpoints::isFull(int64_t slots, size_t inFlight) const
{
    return slots > 0 && static_cast<double>(inFlight) * static_cast<double>(m_daemons) >= fullFraction * static_cast<double>(slots);
}

size_t ColdEndpoints::countCold(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_processes.begin(), m_processes.end(), [this, now](const auto& entry) {
        return entry.second.isRegistered && limitOfService(entry.second.service) && now < coldUntil(entry.second);
    }));
}

std::vector<ColdNotice> ColdEndpoints::takeNotices()
{
    if (!m_hasServices)
        return {};
    std::vector<ColdNotice> notices = std::exchange(m_notices, {});
    std::erase_if(notices, [this](const ColdNotice& notice) { return !limitOfService(notice.service); });
    return notices;
}

}
