#include "LibRelay/StreamOriginStore.h"

#include "Events.h"
#include "LibCore/Random.h"
#include "SharedRead.h"
#include <algorithm>
#include <utility>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;
using Core::SteadyClock;
using std::chrono::milliseconds;

// Attempts at a write whose object other daemons change at the same time.
static constexpr int maxWriteAttempts = 3;
// Number of times that a daemon looks for the record of a new version before it records the version itself.
static constexpr int maxRecordChecks = 3;

StreamOriginStore::StreamOriginStore(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, std::string host, SoftwareVersions& versions, StreamOriginHooks hooks, StreamOriginSettings settings)
    : m_store(std::move(store))
    , m_name(prefix + std::move(host))
    , m_versions(versions)
    , m_hooks(std::move(hooks))
    , m_settings(settings)
    , m_streamReads(std::make_unique<SharedRead>(executor, settings.streamReadSpacing, [this](Reason& reason) { return readStreams(reason); }))
    , m_versionReads(std::make_unique<SharedRead>(executor, settings.versionReadSpacing, [this](Reason& reason) { return readVersions(reason); }))
    , m_woken(executor)
    , m_streamsChanged(executor)
{
}

StreamOriginStore::~StreamOriginStore() = default;

void StreamOriginStore::streamBegan(uint64_t key, StreamOrigin origin, Deadline until)
{
    bool needsRecord = m_versions.mixedServices(SteadyClock::now()).contains(origin.service);
    m_table.add(key, std::move(origin), std::min(until, Deadline::after(SoftwareVersions::retention)));
    if (!needsRecord)
        return;
    m_unwritten.insert(key);
    m_streamsChanged.notifyAll();
}

void StreamOriginStore::streamEnded(uint64_t key, bool isComplete)
{
    if (isComplete) {
        m_table.complete(key, SteadyClock::now());
        return;
    }
    if (!m_unwritten.contains(key))
        return;
    m_isUrgent = true;
    m_streamsChanged.notifyAll();
}

bool StreamOriginStore::accept(const StreamHandover& handover, Reason& reason)
{
    if (m_isStopping) {
        reason = { FailureKind::Unavailable, "accept streams", "peer", "this daemon stops" };
        return false;
    }
    std::set<std::string> mixed = m_versions.mixedServices(SteadyClock::now());
    if (std::any_of(handover.streams.begin(), handover.streams.end(), [&mixed](const HandedStream& stream) { return !mixed.contains(stream.origin.service); })) {
        reason = { FailureKind::Unavailable, "accept streams", "peer", "this daemon knows of one version of a service only and records none of its streams" };
        return false;
    }
    for (const HandedStream& stream : handover.streams)
        m_table.add(stream.key, stream.origin, Deadline::after(std::min<milliseconds>(stream.left, SoftwareVersions::retention)));
    m_hasAccepted = true;
    m_isUrgent = m_isUrgent || handover.isUrgent;
    m_streamsChanged.notifyAll();
    return true;
}

Core::Task<std::optional<StreamOriginStore::Found>> StreamOriginStore::find(std::optional<uint64_t> key, std::string service, Deadline deadline, Reason& reason)
{
    if (std::optional<StreamOrigin> own = key ? m_table.find(*key) : std::nullopt)
        co_return Found { std::move(*own), "own" };
    // A caller may wait for a read in progress and for its own.
    Deadline readDeadline = std::min(deadline, Deadline::after(2 * m_settings.callTimeout + m_settings.streamReadSpacing));
    auto findOnlyVersion = [&]() -> std::optional<Found> {
        std::optional<std::string> only = m_versions.onlyVersion(service, SteadyClock::now());
        return only ? std::optional<Found>({ { service, std::move(*only) }, "only_version" }) : std::nullopt;
    };
    if (!m_versions.mixedServices(SteadyClock::now()).contains(service)) {
        // Another version may have begun streams since this daemon last heard of the endpoints.
        if (!co_await m_versionReads->read(readDeadline, reason))
            co_return std::nullopt;
        if (std::optional<Found> only = findOnlyVersion())
            co_return only;
    }
    if (!key) {
        reason = { FailureKind::NotFound, "find stream origin", service, "the request does not name the one that began the stream" };
        co_return std::nullopt;
    }
    if (!m_known.contains(*key) && !co_await m_streamReads->read(readDeadline, reason))
        co_return std::nullopt;
    if (!m_known.contains(*key)) {
        // The other versions may have left long ago, so that the other daemons record no streams any more.
        if (!co_await m_versionReads->read(readDeadline, reason))
            co_return std::nullopt;
        if (std::optional<Found> only = findOnlyVersion())
            co_return only;
        co_await Core::sleepUntil(Deadline::after(m_settings.secondReadDelay));
        if (!co_await m_streamReads->read(readDeadline, reason))
            co_return std::nullopt;
    }
    auto it = m_known.find(*key);
    if (it != m_known.end() && it->second)
        co_return Found { *it->second, "record" };
    reason = { FailureKind::NotFound, "find stream origin", service, it != m_known.end() ? "several streams were begun under this id" : "no daemon has recorded the stream" };
    co_return std::nullopt;
}

Core::Task<bool> StreamOriginStore::readStreams(Reason& reason)
{
    std::optional<Platform::Listing> listing = co_await m_store.list(prefix, Deadline::after(m_settings.callTimeout), reason);
    if (!listing)
        co_return false;
    StreamOrigins origins;
    for (const Platform::Object& object : listing->objects) {
        Reason malformed;
        if (!StreamOriginTable::decode(object.value, object.name, origins, malformed))
            Core::logEvent(Events::streamRecordIgnored, "object=" + object.name + " store_version=" + std::to_string(object.version) + " reason=\"" + malformed.text() + "\"");
    }
    m_known = std::move(origins);
    co_return true;
}

Core::Task<bool> StreamOriginStore::readVersions(Reason& reason)
{
    std::optional<Platform::Object> object = co_await m_store.get(versionRecordName, Deadline::after(m_settings.callTimeout), reason);
    if (!object && reason.kind != FailureKind::NotFound)
        co_return false;
    std::optional<VersionRecord> record = object ? decodeVersionRecord(object->value, object->name, reason) : VersionRecord {};
    if (!record)
        Core::logEvent(Events::streamRecordIgnored, "object=" + object->name + " store_version=" + std::to_string(object->version) + " reason=\"" + reason.text() + "\"");
    m_versions.adopt(record.value_or(VersionRecord {}), SteadyClock::now());
    co_return true;
}

Core::Task<void> StreamOriginStore::writeVersions()
{
    Reason reason;
    for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
        Deadline deadline = Deadline::after(m_settings.callTimeout);
        std::optional<Platform::Object> object = co_await m_store.get(versionRecordName, deadline, reason);
        if (!object && reason.kind != FailureKind::NotFound)
            break;
        std::optional<VersionRecord> stored = object ? decodeVersionRecord(object->value, object->name, reason) : std::nullopt;
        m_versions.adopt(stored.value_or(VersionRecord {}), SteadyClock::now());
        VersionRecord wanted = m_versions.updatedRecord(SteadyClock::now());
        std::optional<Platform::Version> written = object ? object->version : 0;
        if (!stored || *stored != wanted)
            written = co_await m_store.put(versionRecordName, encodeVersionRecord(wanted), object ? object->version : 0, deadline, reason);
        if (written) {
            m_versions.adopt(std::move(wanted), SteadyClock::now());
            co_return;
        }
        if (reason.kind != FailureKind::Conflict)
            break;
    }
    Core::logEvent(Events::streamRecordNotWritten, std::string("object=") + versionRecordName + " reason=\"" + reason.text() + "\"");
}

Core::Task<void> StreamOriginStore::maintainVersions()
{
    m_hooks.observe(m_versions);
    SteadyClock::time_point now = SteadyClock::now();
    if (!m_versions.isCurrent()) {
        Reason reason;
        if (!m_versions.updatedRecord(now).empty())
            co_await m_versionReads->read(Deadline::after(m_settings.callTimeout), reason);
        co_return;
    }
    if (m_hooks.isRecorder() && *m_versions.recorded() != m_versions.updatedRecord(now)) {
        co_await writeVersions();
        co_return;
    }
    bool isIncomplete = m_versions.isRecordIncomplete(now);
    if (!isIncomplete) {
        m_recordChecks = 0;
        m_isStarting = false;
    }
    if (!isIncomplete && !m_versions.hasDepartedVersions(now)) {
        m_recordCheck = std::nullopt;
        co_return;
    }
    if (!m_recordCheck) {
        milliseconds checkDelay = std::exchange(m_isStarting, false) ? m_settings.firstRecordCheckDelay : m_settings.recordCheckDelay;
        milliseconds delay = isIncomplete ? checkDelay : m_settings.departureCheckDelay;
        m_recordCheck = Deadline::after(delay + milliseconds(Core::randomBelow(static_cast<uint64_t>(delay.count()) + 1)));
        co_return;
    }
    if (!m_recordCheck->hasPassed())
        co_return;
    m_recordCheck = std::nullopt;
    if (isIncomplete && ++m_recordChecks >= maxRecordChecks) {
        co_await writeVersions();
        co_return;
    }
    Reason reason;
    co_await m_versionReads->read(Deadline::after(m_settings.callTimeout), reason);
}

Core::Task<void> StreamOriginStore::runVersions()
{
    while (!m_isStopping) {
        co_await maintainVersions();
        std::set<std::string> mixed = m_versions.mixedServices(SteadyClock::now());
        if (mixed.empty()) {
            m_known.clear();
            m_unwritten.clear();
        }
        if (mixed != m_writtenServices)
            m_streamsChanged.notifyAll();
        m_table.expire(SteadyClock::now());
        co_await m_woken.wait(std::min(m_recordCheck.value_or(Deadline::never()), Deadline::after(m_settings.observeInterval)));
    }
}

bool StreamOriginStore::hasUnwrittenStreams()
{
    std::set<std::string> mixed = m_versions.mixedServices(SteadyClock::now());
    bool hasRecord = m_version != 0;
    bool needsRecord = m_table.hasStreamsOf(mixed);
    if (!needsRecord)
        return hasRecord && mixed.empty();
    return !m_unwritten.empty() || m_hasAccepted || mixed != m_writtenServices || m_collector != collector();
}

void StreamOriginStore::restoreUnwritten(std::unordered_set<uint64_t> keys)
{
    m_unwritten.merge(keys);
    std::erase_if(m_unwritten, [this](uint64_t key) { return !m_table.contains(key); });
}

std::optional<Core::Address> StreamOriginStore::collector() const
{
    return m_hooks.collector && !m_isStopping && m_writesOwnUntil.hasPassed() ? m_hooks.collector() : std::nullopt;
}

Core::Task<Deadline> StreamOriginStore::saveStreams()
{
    std::optional<Core::Address> target = collector();
    if (target && !m_hasAccepted && co_await handOverStreams(*target))
        co_return Deadline::after(m_settings.handoverInterval);
    bool isWritten = co_await writeStreams();
    co_return Deadline::after(isWritten ? m_settings.writeInterval : m_settings.retryDelay);
}

Core::Task<bool> StreamOriginStore::handOverStreams(const Core::Address& target)
{
    std::set<std::string> mixed = m_versions.mixedServices(SteadyClock::now());
    if (mixed.empty())
        co_return false;
    bool isComplete = m_collector != target || mixed != m_writtenServices;
    std::unordered_set<uint64_t> handed = std::exchange(m_unwritten, {});
    StreamHandover handover { m_table.streamsOf(mixed, isComplete ? std::unordered_set<uint64_t> {} : handed, SteadyClock::now()), std::exchange(m_isUrgent, false) };
    Reason reason;
    if (co_await m_hooks.handOver(target, std::move(handover), reason)) {
        m_collector = target;
        m_writtenServices = std::move(mixed);
        co_return true;
    }
    restoreUnwritten(std::move(handed));
    m_writesOwnUntil = Deadline::after(m_settings.collectorRetryDelay);
    co_return false;
}

Core::Task<bool> StreamOriginStore::inheritStreams(Reason& reason)
{
    std::optional<Platform::Object> object = co_await m_store.get(m_name, Deadline::after(m_settings.callTimeout), reason);
    if (!object && reason.kind != FailureKind::NotFound)
        co_return false;
    m_hasInherited = true;
    if (!object)
        co_return true;
    m_version = object->version;
    StreamOrigins origins;
    if (!StreamOriginTable::decode(object->value, object->name, origins, reason))
        co_return true;
    for (auto& [key, origin] : origins) {
        if (origin && !m_table.find(key))
            m_table.add(key, std::move(*origin), Deadline::after(SoftwareVersions::retention));
    }
    co_return true;
}

Core::Task<bool> StreamOriginStore::removeStreams()
{
    Reason reason;
    bool isRemoved = co_await m_store.remove(m_name, m_version, Deadline::after(m_settings.callTimeout), reason);
    m_hasInherited = false;
    m_writtenServices.clear();
    if (isRemoved || reason.kind == FailureKind::NotFound || reason.kind == FailureKind::Conflict)
        m_version = 0;
    co_return m_version == 0;
}

Core::Task<bool> StreamOriginStore::writeStreams()
{
    std::set<std::string> mixed = m_versions.mixedServices(SteadyClock::now());
    if (mixed.empty())
        co_return m_version == 0 || co_await removeStreams();
    Reason reason;
    if (m_hasInherited || co_await inheritStreams(reason)) {
        std::unordered_set<uint64_t> written = std::exchange(m_unwritten, {});
        bool hadAccepted = std::exchange(m_hasAccepted, false);
        m_isUrgent = false;
        m_table.expire(SteadyClock::now());
        std::optional<Platform::Version> version = co_await m_store.put(m_name, m_table.encode(mixed), m_version, Deadline::after(m_settings.callTimeout), reason);
        ++m_writes;
        if (version) {
            m_version = *version;
            m_collector = std::nullopt;
            m_writtenServices = std::move(mixed);
            co_return true;
        }
        restoreUnwritten(std::move(written));
        m_hasAccepted = m_hasAccepted || hadAccepted;
    }
    // The record may have been written all the same, or have been lost with the store's latest changes.
    m_hasInherited = false;
    m_version = 0;
    Core::logEvent(Events::streamRecordNotWritten, "object=" + m_name + " reason=\"" + reason.text() + "\"");
    co_return false;
}

Core::Task<void> StreamOriginStore::runStreams()
{
    while (!m_isStopping) {
        if (!hasUnwrittenStreams()) {
            co_await m_streamsChanged.wait(Deadline::after(m_settings.observeInterval));
            continue;
        }
        m_isWriting = true;
        Deadline next = co_await saveStreams();
        m_isWriting = false;
        co_await Core::sleepUntil(Deadline::after(m_settings.minWriteInterval));
        while (!m_isUrgent && !m_isStopping && !next.hasPassed())
            co_await m_streamsChanged.wait(next);
    }
}

Core::Task<void> StreamOriginStore::stop(Deadline deadline)
{
    m_isStopping = true;
    m_woken.notifyAll();
    m_streamsChanged.notifyAll();
    while (m_isWriting && !deadline.hasPassed())
        co_await Core::sleepUntil(std::min(deadline, Deadline::after(m_settings.minWriteInterval)));
    if (!m_isWriting && !deadline.hasPassed() && (!m_unwritten.empty() || m_hasAccepted))
        co_await writeStreams();
}

}
