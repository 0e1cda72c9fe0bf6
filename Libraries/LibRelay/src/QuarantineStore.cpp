#include "LibRelay/QuarantineStore.h"

#include "Events.h"
#include <utility>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;
using Core::SteadyClock;
using std::chrono::milliseconds;

// Interval in which removals and expired records are looked for while there are suspects.
static constexpr milliseconds pollInterval(50);
// Without any, a crash wakes the task.
static constexpr milliseconds idleInterval(60'000);

QuarantineStore::QuarantineStore(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, PromptQuarantine& quarantine, QuarantineStoreSettings settings)
    : m_store(std::move(store))
    , m_quarantine(quarantine)
    , m_settings(settings)
    , m_woken(executor)
{
}

std::optional<SuspectRecord> QuarantineStore::read(const Platform::Object& object) const
{
    Reason reason;
    std::optional<SuspectRecord> record = decodeSuspect(object, reason);
    if (!record)
        Core::logEvent(Events::suspectIgnored, "object=" + object.name + " store_version=" + std::to_string(object.version) + " reason=\"" + reason.text() + "\"");
    return record;
}

void QuarantineStore::replaceAll(const std::vector<Platform::Object>& objects)
{
    std::vector<SuspectRecord> records;
    for (const Platform::Object& object : objects) {
        if (std::optional<SuspectRecord> record = read(object))
            records.push_back(std::move(*record));
    }
    m_quarantine.replaceAll(std::move(records), SteadyClock::now());
}

void QuarantineStore::adopt(const Platform::Change& change)
{
    SteadyClock::time_point now = SteadyClock::now();
    if (change.isDeleted) {
        if (std::optional<uint64_t> key = suspectKeyOfName(change.object.name))
            m_quarantine.remove(*key, "the record was removed from the store", now);
    } else if (std::optional<SuspectRecord> record = read(change.object)) {
        m_quarantine.adopt(std::move(*record), now);
    }
}

void QuarantineStore::stop()
{
    m_isStopping = true;
    m_woken.notifyAll();
}

Core::Task<void> QuarantineStore::run()
{
    while (!m_isStopping) {
        std::optional<RecordChange> change = m_quarantine.dueChange(SteadyClock::now());
        if (!change) {
            co_await m_woken.wait(Deadline::after(m_quarantine.suspects() > 0 ? pollInterval : idleInterval));
            continue;
        }
        bool isWritten = co_await apply(std::move(*change));
        if (!m_isStopping)
            co_await Core::sleepUntil(Deadline::after(milliseconds(isWritten ? m_settings.writeIntervalMs : m_settings.retryDelayMs)));
    }
}

Core::Task<bool> QuarantineStore::apply(RecordChange change)
{
    if (change.isRemoval)
        co_return co_await removeRecord(std::move(change));
    co_return co_await report(std::move(change));
}

Core::Task<bool> QuarantineStore::removeRecord(RecordChange change)
{
    uint64_t key = suspectKeyOf(change.record.part.id);
    Reason reason;
    bool isRemoved = change.record.version == 0
        || co_await m_store.remove(suspectNameOf(key), change.record.version, Deadline::after(milliseconds(m_settings.writeTimeoutMs)), reason);
    SteadyClock::time_point now = SteadyClock::now();
    if (isRemoved || reason.kind == FailureKind::NotFound) {
        m_quarantine.remove(key, "this daemon has seen an answer with the part, or the record has expired", now);
        co_return true;
    }
    // After a conflict, the follower reports the newer record.
    m_quarantine.postponeRemoval(key, now + milliseconds(m_settings.retryDelayMs));
    co_return false;
}

Core::Task<bool> QuarantineStore::report(RecordChange change)
{
    uint64_t key = suspectKeyOf(change.record.part.id);
    std::string name = suspectNameOf(key);
    Reason reason;
    for (int attempt = 0; attempt < m_settings.maxWriteAttempts; ++attempt) {
        Deadline deadline = Deadline::after(milliseconds(m_settings.writeTimeoutMs));
        std::optional<Platform::Version> version = co_await m_store.put(name, encodeSuspect(change.record.part), change.record.version, deadline, reason);
        if (version) {
            m_quarantine.adopt({ std::move(change.record.part), *version }, SteadyClock::now());
            co_return true;
        }
        if (reason.kind != FailureKind::Conflict)
            break;
        std::optional<Platform::Object> current = co_await m_store.get(name, deadline, reason);
        if (!current && reason.kind == FailureKind::NotFound) {
            m_quarantine.remove(key, "the record was removed from the store", SteadyClock::now());
            co_return true;
        }
        std::optional<SuspectRecord> record = current ? read(*current) : std::nullopt;
        if (current && !record)
            m_quarantine.abandonReport(key);
        if (!record)
            break;
        m_quarantine.adopt(std::move(*record), SteadyClock::now());
        std::optional<RecordChange> remaining = m_quarantine.reportOf(key, SteadyClock::now());
        if (!remaining)
            co_return true;
        change = std::move(*remaining);
    }
    Core::logEvent(Events::suspectNotWritten, "part=" + change.record.part.id + " object=" + name + " reason=\"" + reason.text() + "\"");
    co_return false;
}

}
