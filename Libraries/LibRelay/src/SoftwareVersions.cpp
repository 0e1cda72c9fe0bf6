#include "LibRelay/SoftwareVersions.h"

#include "LibCore/Reason.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Relay {

using TimePoint = Core::SteadyClock::time_point;
using nlohmann::json;

// Versions that are first seen within this time were in one listing.
static constexpr std::chrono::milliseconds firstListingTime(100);
// A version that was seen this recently counts as registered; registrations are observed more often.
static constexpr std::chrono::milliseconds registrationAge(1'000);

std::string encodeVersionRecord(const VersionRecord& record)
{
    return json { { "services", record } }.dump();
}

std::optional<VersionRecord> decodeVersionRecord(const std::string& text, const std::string& name, Core::Reason& reason)
{
    try {
        return json::parse(text).at("services").get<VersionRecord>();
    } catch (const json::exception& error) {
        reason = { Core::FailureKind::Invalid, "decode software versions", name, error.what() };
        return std::nullopt;
    }
}

void SoftwareVersions::observe(const Endpoint& endpoint, TimePoint now)
{
    m_firstSeen[endpoint.service].try_emplace(endpoint.softwareVersion, now);
    m_lastSeen[endpoint.service][endpoint.softwareVersion] = now;
}

void SoftwareVersions::adopt(VersionRecord record, TimePoint now)
{
    Times since;
    for (const auto& [service, versions] : record) {
        for (const std::string& version : versions)
            since[service][version] = m_recordedSince[service].try_emplace(version, now).first->second;
    }
    m_recordedSince = std::move(since);
    m_recorded = std::move(record);
    m_isCurrent = true;
    for (auto& [service, versions] : m_lastSeen) {
        std::erase_if(versions, [now](const auto& entry) { return now - entry.second > retention; });
        std::erase_if(m_firstSeen[service], [&seen = versions](const auto& entry) { return !seen.contains(entry.first); });
    }
}

bool SoftwareVersions::wasSeenSince(const std::string& service, const std::string& version, TimePoint time) const
{
    auto versions = m_lastSeen.find(service);
    if (versions == m_lastSeen.end())
        return false;
    auto seen = versions->second.find(version);
    return seen != versions->second.end() && seen->second >= time;
}

bool SoftwareVersions::isRecorded(const Endpoint& endpoint) const
{
    if (!m_recorded)
        return false;
    auto it = m_recorded->find(endpoint.service);
    return it != m_recorded->end() && it->second.contains(endpoint.softwareVersion);
}

bool SoftwareVersions::mayBegin(const Endpoint& endpoint) const
{
    if (isRecorded(endpoint))
        return true;
    bool isServiceRecorded = m_recorded && m_recorded->contains(endpoint.service);
    auto versions = m_firstSeen.find(endpoint.service);
    if (isServiceRecorded || versions == m_firstSeen.end() || !versions->second.contains(endpoint.softwareVersion))
        return false;
    TimePoint earliest = TimePoint::max();
    for (const auto& [version, firstSeen] : versions->second)
        earliest = std::min(earliest, firstSeen);
    return versions->second.at(endpoint.softwareVersion) - earliest <= firstListingTime;
}

VersionRecord SoftwareVersions::possibleVersions(TimePoint now) const
{
    VersionRecord possible = m_recorded.value_or(VersionRecord {});
    for (const auto& [service, versions] : m_lastSeen) {
        for (const auto& [version, lastSeen] : versions) {
            if (now - lastSeen <= retention)
                possible[service].insert(version);
        }
    }
    return possible;
}

VersionRecord SoftwareVersions::updatedRecord(TimePoint now) const
{
    VersionRecord updated;
    for (const auto& [service, versions] : m_recordedSince) {
        for (const auto& [version, since] : versions) {
            if (now - since <= retention || wasSeenSince(service, version, now - retention))
                updated[service].insert(version);
        }
    }
    for (const auto& [service, versions] : m_lastSeen) {
        for (const auto& [version, lastSeen] : versions) {
            if (now - lastSeen <= registrationAge)
                updated[service].insert(version);
        }
    }
    return updated;
}

bool SoftwareVersions::isRecordIncomplete(TimePoint now) const
{
    for (const auto& [service, versions] : m_lastSeen) {
        for (const auto& [version, lastSeen] : versions) {
            auto recorded = m_recordedSince.find(service);
            if (now - lastSeen <= registrationAge && (recorded == m_recordedSince.end() || !recorded->second.contains(version)))
                return true;
        }
    }
    return false;
}

bool SoftwareVersions::hasDepartedVersions(TimePoint now) const
{
    for (const auto& [service, versions] : m_recordedSince) {
        for (const auto& [version, since] : versions) {
            if (!wasSeenSince(service, version, now - registrationAge))
                return true;
        }
    }
    return false;
}

std::optional<std::string> SoftwareVersions::onlyVersion(const std::string& service, TimePoint now) const
{
    VersionRecord possible = possibleVersions(now);
    auto it = possible.find(service);
    if (it == possible.end() || it->second.size() != 1)
        return std::nullopt;
    return *it->second.begin();
}

std::set<std::string> SoftwareVersions::mixedServices(TimePoint now) const
{
    std::set<std::string> mixed;
    for (const auto& [service, versions] : possibleVersions(now)) {
        if (versions.size() > 1)
            mixed.insert(service);
    }
    return mixed;
}

}
