#include "LibRelay/SoftwareVersions.h"

#include "LibCore/Reason.h"
#include <nlohmann/json.hpp>

namespace Relay {

using TimePoint = Core::SteadyClock::time_point;
using nlohmann::json;

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
    m_lastSeen[endpoint.service][endpoint.softwareVersion] = now;
}

void SoftwareVersions::adopt(VersionRecord record, TimePoint now)
{
    for (const auto& [service, versions] : record) {
        for (const std::string& version : versions)
            m_lastSeen[service].try_emplace(version, now);
    }
    m_recorded = std::move(record);
    m_isCurrent = true;
}

void SoftwareVersions::setRecorded(VersionRecord record, TimePoint now)
{
    for (auto it = m_lastSeen.begin(); it != m_lastSeen.end();) {
        auto kept = record.find(it->first);
        std::erase_if(it->second, [&](const auto& entry) {
            bool isRecorded = kept != record.end() && kept->second.contains(entry.first);
            return !isRecorded && now - entry.second > retention;
        });
        it = it->second.empty() ? m_lastSeen.erase(it) : std::next(it);
    }
    adopt(std::move(record), now);
}

bool SoftwareVersions::isRecorded(const Endpoint& endpoint) const
{
    if (!m_recorded)
        return false;
    auto it = m_recorded->find(endpoint.service);
    return it != m_recorded->end() && it->second.contains(endpoint.softwareVersion);
}

VersionRecord SoftwareVersions::current(TimePoint now) const
{
    VersionRecord record;
    for (const auto& [service, versions] : m_lastSeen) {
        for (const auto& [version, lastSeen] : versions) {
            if (now - lastSeen <= retention)
                record[service].insert(version);
        }
    }
    return record;
}

std::optional<std::string> SoftwareVersions::onlyVersion(const std::string& service, TimePoint now) const
{
    auto it = m_lastSeen.find(service);
    if (it == m_lastSeen.end())
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto& [version, lastSeen] : it->second) {
        if (now - lastSeen > retention)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

std::set<std::string> SoftwareVersions::mixedServices(TimePoint now) const
{
    std::set<std::string> mixed;
    for (const auto& [service, versions] : current(now)) {
        if (versions.size() > 1)
            mixed.insert(service);
    }
    return mixed;
}

}
