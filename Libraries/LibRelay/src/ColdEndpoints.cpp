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
// to requests that travel longer than others.
static constexpr double reservedFraction = 0.35;
// A longer rest of the cold time than the service's cold time plus this cannot be right.
static constexpr milliseconds coldTimeTolerance(1'000);
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

static std::string tooLong(int64_t coldLeftMs)
{
    return std::to_string(coldLeftMs) + " ms is longer than the cold time of the service";
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
    for (auto& [id, process] : m_processes) {
        bool isJudged = process.limit != nullptr;
        process.limit = limitOfService(process.service);
        // Entries may be read before the services.
        if (!isJudged && process.coldLeftMs && !isReadable(process.coldLeftMs, process.limit)) {
            process.statedUntil = {};
            assumeCold(process, process.statedAt);
            noteUnreadable(id, process, tooLong(*process.coldLeftMs));
        }
        extendActive(process);
    }
}

const ColdEndpoints::Limit* ColdEndpoints::limitOfService(const std::string& service) const
{
    auto it = m_limits.find(service);
    return it == m_limits.end() ? nullptr : &it->second;
}

bool ColdEndpoints::isReadable(std::optional<int64_t> coldLeftMs, const Limit* limit)
{
    return coldLeftMs && (!limit || milliseconds(*coldLeftMs) <= limit->coldTime + coldTimeTolerance);
}

void ColdEndpoints::extendActive(const Process& process)
{
    if (process.limit)
        m_activeUntil = std::max({ m_activeUntil, coldUntil(process) + returnTime, process.quietUntil });
}

TimePoint ColdEndpoints::entryColdUntil(const Process& process)
{
    TimePoint assumedUntil = process.isAssumed && process.limit ? *process.assumedSince + process.limit->coldTime : TimePoint {};
    return std::max(process.statedUntil, assumedUntil);
}

TimePoint ColdEndpoints::coldUntil(const Process& process)
{
    TimePoint badAnswerUntil = process.badAnswerSince && process.limit ? *process.badAnswerSince + process.limit->coldTime : TimePoint {};
    return std::max({ entryColdUntil(process), process.answeredUntil, badAnswerUntil });
}

void ColdEndpoints::assumeCold(Process& process, TimePoint since)
{
    process.isAssumed = true;
    if (!process.assumedSince)
        process.assumedSince = since;
}

void ColdEndpoints::noteCold(const Endpoint& endpoint, std::string detail)
{
    m_notices.push_back({ ColdNotice::Kind::Cold, endpoint.id, endpoint.service, std::move(detail) });
}

void ColdEndpoints::noteUnreadable(const std::string& endpoint, Process& process, std::string reason)
{
    bool mayMatter = process.limit || !m_hasServices;
    if (mayMatter && !std::exchange(process.hasUnreadableNotice, true))
        m_notices.push_back({ ColdNotice::Kind::Unreadable, endpoint, process.service, std::move(reason) });
}

static std::string unreadableReason(const Endpoint& endpoint)
{
    if (endpoint.coldLeftMs)
        return tooLong(*endpoint.coldLeftMs);
    return endpoint.coldLeftFault.empty() ? "missing" : endpoint.coldLeftFault;
}

void ColdEndpoints::observe(const Endpoint& endpoint, uint64_t version, TimePoint now)
{
    auto known = m_processes.find(endpoint.id);
    if (known == m_processes.end()) {
        for (auto& [id, process] : m_processes) {
            if (!process.isRegistered && !process.removedAt)
                process.removedAt = now;
        }
        std::erase_if(m_processes, [now](const auto& entry) { return entry.second.removedAt && now - *entry.second.removedAt >= processRetention; });
        Process& process = m_processes[endpoint.id];
        adoptNewProcess(endpoint, process, now, false);
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
        process.version = version;
        extendActive(process);
        return;
    }
    process.startedAtMs = std::max(process.startedAtMs, endpoint.startedAtMs);
    process.service = endpoint.service;
    process.limit = limitOfService(endpoint.service);
    if (version < process.version)
        return;
    bool isNewVersion = version > process.version;
    process.version = version;
    adoptStatement(endpoint, process, now, isNewVersion);
    extendActive(process);
}

void ColdEndpoints::adoptNewProcess(const Endpoint& endpoint, Process& process, TimePoint now, bool isRestart)
{
    process.service = endpoint.service;
    process.limit = limitOfService(endpoint.service);
    process.startedAtMs = endpoint.startedAtMs;
    process.coldLeftMs = endpoint.coldLeftMs;
    process.statedAt = now;
    bool hasTime = isReadable(endpoint.coldLeftMs, process.limit);
    if (!hasTime)
        noteUnreadable(endpoint.id, process, unreadableReason(endpoint));
    else if (*endpoint.coldLeftMs > 0)
        process.statedUntil = now + milliseconds(*endpoint.coldLeftMs);
    // The first entry of a process that has started again under its id may have been written before it served, with 0.
    if (isRestart || !hasTime)
        assumeCold(process, now);
    // Requests that were meant for the earlier process may have reached this one.
    if (isRestart)
        process.quietUntil = now + quietTime;
    if (process.statedUntil > now || process.isAssumed)
        noteCold(endpoint, isRestart ? "new_process" : hasTime ? "entry"
                                                               : "unreadable_entry");
}

void ColdEndpoints::adoptStatement(const Endpoint& endpoint, Process& process, TimePoint now, bool isNewVersion)
{
    // An entry may be written again for another reason, with the cold time that it had. It must not extend the cold time, but after its
    // end it may also mean that the endpoint has become cold again. Heartbeats change an entry without a new version.
    bool isUnchanged = process.coldLeftMs == endpoint.coldLeftMs;
    bool hasTime = isReadable(endpoint.coldLeftMs, process.limit);
    if (isUnchanged && (now < entryColdUntil(process) || !isNewVersion || !hasTime))
        return;
    bool wasCold = now < coldUntil(process);
    TimePoint end = entryColdUntil(process);
    process.coldLeftMs = endpoint.coldLeftMs;
    process.statedAt = now;
    if (hasTime) {
        process.isAssumed = false;
        // An end in the past is kept, since the limit outlasts it.
        process.statedUntil = *endpoint.coldLeftMs > 0 ? now + milliseconds(*endpoint.coldLeftMs) : std::min(end, now);
    } else {
        assumeCold(process, now);
        noteUnreadable(endpoint.id, process, unreadableReason(endpoint));
    }
    if (wasCold || now >= coldUntil(process))
        return;
    process.quietUntil = now + quietTime;
    noteCold(endpoint, hasTime ? "entry" : "unreadable_entry");
}

void ColdEndpoints::recordAnswer(const Endpoint& endpoint, milliseconds left, TimePoint now)
{
    auto known = m_processes.find(endpoint.id);
    if (known == m_processes.end() || !known->second.limit || left <= milliseconds(0))
        return;
    Process& process = known->second;
    if (endpoint.startedAtMs != process.startedAtMs)
        return;
    bool wasCold = now < coldUntil(process);
    if (isReadable(left.count(), process.limit)) {
        process.answeredUntil = std::max(process.answeredUntil, now + left);
    } else {
        if (!process.badAnswerSince)
            process.badAnswerSince = now;
        noteUnreadable(endpoint.id, process, "in an answer: " + tooLong(left.count()));
    }
    extendActive(process);
    if (wasCold || now >= coldUntil(process))
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

ColdState ColdEndpoints::findState(const Endpoint& endpoint, TimePoint now) const
{
    auto it = m_processes.find(endpoint.id);
    if (it == m_processes.end() || !it->second.limit)
        return {};
    const Process& process = it->second;
    TimePoint end = coldUntil(process);
    ColdState state { now < end, std::nullopt, process.quietUntil };
    if (end != TimePoint {} && now < end + returnTime)
        state.limit = process.limit->perSecond;
    return state;
}

size_t ColdEndpoints::countCold(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_processes.begin(), m_processes.end(), [now](const auto& entry) {
        return entry.second.isRegistered && entry.second.limit && now < coldUntil(entry.second);
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
