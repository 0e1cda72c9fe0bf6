#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/Endpoint.h"
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Relay {

// The software versions of each service.
using VersionRecord = std::map<std::string, std::set<std::string>>;

// JSON `{service: [version, ...]}`. Empty with a reason of kind Invalid if the text is none.
std::string encodeVersionRecord(const VersionRecord&);
std::optional<VersionRecord> decodeVersionRecord(const std::string& text, const std::string& name, Core::Reason&);

// The software versions of each service that may have begun a stream which is still taken up: those of the endpoints that this daemon
// has seen registered, and those that the fleet has recorded in the store, since a daemon that has just started has seen none.
class SoftwareVersions {
public:
    // No stream is taken up longer than this after its version has left.
    static constexpr std::chrono::seconds retention { 120 };

    // Records that an endpoint is registered.
    void observe(const Endpoint&, Core::SteadyClock::time_point now);
    // Adopts the fleet's record, as it was read or written.
    void adopt(VersionRecord, Core::SteadyClock::time_point now);
    // This daemon may have missed versions that came and went, until it adopts the record again.
    void invalidate() { m_isCurrent = false; }

    // Whether the record has been adopted, and registrations have been followed without a gap since.
    bool isCurrent() const { return m_isCurrent; }
    // The fleet's record as this daemon has last read or written it; empty before that.
    const std::optional<VersionRecord>& recorded() const { return m_recorded; }
    // Whether the endpoint's version is in the fleet's record, so that no daemon mistakes its streams for those of another version.
    bool isRecorded(const Endpoint&) const;
    // Whether streams may begin at the endpoint. While no version of its service is recorded, as far as this daemon knows, those may that it
    // saw first: a version that registers later may be unknown to other daemons, also if the record has been written meanwhile.
    bool mayBegin(const Endpoint&) const;
    // What the record should be: it gains the versions that are registered now, and loses those that left a retention ago.
    VersionRecord updatedRecord(Core::SteadyClock::time_point now) const;
    // Whether the record lacks a version that is registered now.
    bool isRecordIncomplete(Core::SteadyClock::time_point now) const;
    // Whether the record has a version that is not registered now, and that another daemon will remove from it.
    bool hasDepartedVersions(Core::SteadyClock::time_point now) const;
    // The version of all streams of the service; empty if there may be several or none is known.
    std::optional<std::string> onlyVersion(const std::string& service, Core::SteadyClock::time_point now) const;
    // Services with streams of several versions.
    std::set<std::string> mixedServices(Core::SteadyClock::time_point now) const;

private:
    using Times = std::map<std::string, std::map<std::string, Core::SteadyClock::time_point>>;

    // The versions that may have begun a stream: those of the record, and those seen within the retention.
    VersionRecord possibleVersions(Core::SteadyClock::time_point now) const;
    bool wasSeenSince(const std::string& service, const std::string& version, Core::SteadyClock::time_point) const;

    // When each version was first and last seen registered, by service.
    Times m_firstSeen;
    Times m_lastSeen;
    std::optional<VersionRecord> m_recorded;
    // Since when the record has each of its versions, as far as this daemon knows.
    Times m_recordedSince;
    bool m_isCurrent { false };
};

}
