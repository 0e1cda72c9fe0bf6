#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/SoftwareVersions.h"
#include "LibRelay/StreamHandover.h"
#include "LibRelay/StreamOriginTable.h"
#include <functional>
#include <memory>
#include <unordered_set>

namespace Relay {

class SharedRead;

struct StreamOriginSettings {
    // Time between two writes of this daemon's streams, between two hand-overs to another daemon, and between two of either that do not
    // wait for further streams.
    std::chrono::milliseconds writeInterval { 200 };
    std::chrono::milliseconds handoverInterval { 50 };
    std::chrono::milliseconds minWriteInterval { 50 };
    std::chrono::milliseconds retryDelay { 500 };
    // Time after which a collector is tried again that did not accept streams.
    std::chrono::milliseconds collectorRetryDelay { 5'000 };
    std::chrono::milliseconds callTimeout { 1'000 };
    // Time between two reads of this daemon: of the small record of versions, and of the streams of all hosts.
    std::chrono::milliseconds versionReadSpacing { 50 };
    std::chrono::milliseconds streamReadSpacing { 100 };
    // Delay of the second read for a stream that the first one did not find. The daemon that began it may be writing it.
    std::chrono::milliseconds secondReadDelay { 100 };
    std::chrono::milliseconds observeInterval { 250 };
    // After about this time a daemon looks whether another one has recorded a new version, and after a few such times records it.
    std::chrono::milliseconds recordCheckDelay { 300 };
    // The same for a daemon that has just started. Where all start together, it takes them some time to agree which one records.
    std::chrono::milliseconds firstRecordCheckDelay { 2'000 };
    // After about this time a daemon looks whether a version that has left was removed from the record.
    std::chrono::milliseconds departureCheckDelay { 10'000 };
};

struct StreamOriginHooks {
    // Observes all registered endpoints.
    std::function<void(SoftwareVersions&)> observe;
    // Whether this daemon records the software versions for the fleet.
    std::function<bool()> isRecorder;
    // The daemon that writes the streams of several; empty if this one writes its own. May be unset.
    std::function<std::optional<Core::Address>()> collector {};
    // Hands streams to that daemon. Fails if it did not accept them.
    std::function<Core::Task<bool>(Core::Address, StreamHandover, Core::Reason&)> handOver {};
};

// Finds the origin of a stream that a caller takes up, also if another daemon began it or has been killed since. While a service has
// streams of several software versions, the origins of all streams are written to the store. In a large fleet one daemon writes them
// for several, which keeps the number of writes down without writing each less often.
class StreamOriginStore {
public:
    struct Found {
        StreamOrigin origin;
        // For logs.
        const char* source { "" };
    };

    // The prefix of the records of hosts' streams, and the name of the record of software versions.
    static constexpr const char* prefix = "stream-origins/";
    static constexpr const char* versionRecordName = "software-versions/services";

    StreamOriginStore(const boost::asio::any_io_executor&, Platform::ObjectStore, std::string host, SoftwareVersions&, StreamOriginHooks, StreamOriginSettings = {});
    ~StreamOriginStore();

    // A stream began, which may be taken up until the deadline.
    void streamBegan(uint64_t key, StreamOrigin, Core::Deadline);
    // A stream that began here ended. If it is incomplete, its caller may take it up at once.
    void streamEnded(uint64_t key, bool isComplete);

    // Accepts streams that another daemon hands over. False with a reason of kind Unavailable if this daemon would not write them.
    bool accept(const StreamHandover&, Core::Reason&);

    // The origin of a stream that is taken up on a route to the service. Without a key, it is known only if the service has a single
    // version. Fails with kind NotFound if the origin is not recorded.
    Core::Task<std::optional<Found>> find(std::optional<uint64_t> key, std::string service, Core::Deadline, Core::Reason&);

    // A registered endpoint may have a new version.
    void wake() { m_woken.notifyAll(); }

    // Changed with the size of the fleet.
    void setWriteInterval(std::chrono::milliseconds interval) { m_settings.writeInterval = interval; }

    size_t streams() const { return m_table.size(); }
    uint64_t writes() const { return m_writes; }

    // Maintain the records until stop().
    Core::Task<void> runVersions();
    Core::Task<void> runStreams();
    // Writes the streams that are not yet written, and stops.
    Core::Task<void> stop(Core::Deadline);

private:
    bool hasUnwrittenStreams();
    // Hands over or writes what is not written. Returns when that may be done next.
    Core::Task<Core::Deadline> saveStreams();
    std::optional<Core::Address> collector() const;
    // After a failure: these streams are still to be written, unless they can't be taken up any more.
    void restoreUnwritten(std::unordered_set<uint64_t> keys);
    Core::Task<bool> handOverStreams(const Core::Address&);
    Core::Task<bool> writeStreams();
    Core::Task<bool> removeStreams();
    // Takes over the streams of this host's earlier process, before its record is replaced.
    Core::Task<bool> inheritStreams(Core::Reason&);
    Core::Task<bool> readStreams(Core::Reason&);
    Core::Task<bool> readVersions(Core::Reason&);
    Core::Task<void> maintainVersions();
    Core::Task<void> writeVersions();

    Platform::ObjectStore m_store;
    std::string m_name;
    SoftwareVersions& m_versions;
    StreamOriginHooks m_hooks;
    StreamOriginSettings m_settings;
    StreamOriginTable m_table;
    // The origins that the last read found.
    StreamOrigins m_known;
    std::unique_ptr<SharedRead> m_streamReads;
    std::unique_ptr<SharedRead> m_versionReads;
    Core::Signal m_woken;
    Core::Signal m_streamsChanged;
    // Streams of mixed services that began since the last write.
    std::unordered_set<uint64_t> m_unwritten;
    bool m_isUrgent { false };
    // There are streams of other daemons that are not yet written. These are not handed on, since two daemons may take each other for
    // the one that writes.
    bool m_hasAccepted { false };
    // The daemon to which all streams but the unwritten ones were handed over; empty if they are in this host's record.
    std::optional<Core::Address> m_collector;
    // A collector has not accepted streams; this daemon writes its own until then.
    Core::Deadline m_writesOwnUntil { Core::SteadyClock::time_point {} };
    bool m_isWriting { false };
    bool m_hasInherited { false };
    // The mixed services at the last write.
    std::set<std::string> m_writtenServices;
    // Version of this host's record; 0: none.
    Platform::Version m_version { 0 };
    bool m_isStarting { true };
    // When this daemon next looks whether a new version has been recorded, and how often it has looked.
    std::optional<Core::Deadline> m_recordCheck;
    int m_recordChecks { 0 };
    uint64_t m_writes { 0 };
    bool m_isStopping { false };
};

}
