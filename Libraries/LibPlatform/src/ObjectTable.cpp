#include "LibPlatform/ObjectTable.h"

namespace Platform {

static Core::Reason failure(Core::FailureKind kind, const char* step, std::string message)
{
    return { kind, step, "platform", std::move(message) };
}

static std::string versionText(Version version)
{
    return version ? "at version " + std::to_string(version) : "absent";
}

static Core::Reason conflict(const char* step, const std::string& name, Version expected, Version current)
{
    return failure(Core::FailureKind::Conflict, step,
        "'" + name + "' is " + versionText(current) + ", expected " + versionText(expected));
}

ObjectTable::ObjectTable(const boost::asio::any_io_executor& executor, HistoryLimits limits)
    : m_executor(executor)
    , m_limits(limits)
{
}

Version ObjectTable::currentVersion(const std::string& name) const
{
    std::map<std::string, Object>::const_iterator found = m_objects.find(name);
    return found == m_objects.end() ? 0 : found->second.version;
}

std::optional<Object> ObjectTable::get(const std::string& name, Core::Reason& reason) const
{
    std::map<std::string, Object>::const_iterator found = m_objects.find(name);
    if (found == m_objects.end()) {
        reason = failure(Core::FailureKind::NotFound, "get object", "'" + name + "' does not exist");
        return std::nullopt;
    }
    return found->second;
}

std::optional<Version> ObjectTable::put(const std::string& name, std::string value, Version expected, Core::Reason& reason)
{
    if (value.size() > maxValueBytes) {
        reason = failure(Core::FailureKind::Invalid, "put object",
            "the value of '" + name + "' has " + std::to_string(value.size()) + " bytes, more than " + std::to_string(maxValueBytes));
        return std::nullopt;
    }
    Version current = currentVersion(name);
    if (current != expected) {
        reason = conflict("put object", name, expected, current);
        return std::nullopt;
    }
    Object object { name, m_revision + 1, std::move(value) };
    m_objects[name] = object;
    record({ std::move(object), false });
    return m_revision;
}

bool ObjectTable::remove(const std::string& name, Version expected, Core::Reason& reason)
{
    Version current = currentVersion(name);
    if (current == 0) {
        reason = failure(Core::FailureKind::NotFound, "remove object", "'" + name + "' does not exist");
        return false;
    }
    if (current != expected) {
        reason = conflict("remove object", name, expected, current);
        return false;
    }
    m_objects.erase(name);
    record({ { name, m_revision + 1, "" }, true });
    return true;
}

void ObjectTable::record(Change change)
{
    m_revision = change.object.version;
    for (const std::shared_ptr<Waiter>& waiter : m_waiters) {
        if (!change.object.name.starts_with(waiter->prefix))
            continue;
        waiter->changes.push_back(change);
        waiter->signal.notifyAll();
    }
    m_historyBytes += change.object.value.size();
    m_history.push_back(std::move(change));
    while (!m_history.empty() && (m_history.size() > m_limits.maxChanges || m_historyBytes > m_limits.maxBytes)) {
        m_historyBytes -= m_history.front().object.value.size();
        m_history.pop_front();
    }
}

Listing ObjectTable::list(const std::string& prefix) const
{
    Listing listing { m_revision, {} };
    std::map<std::string, Object>::const_iterator entry = m_objects.lower_bound(prefix);
    for (; entry != m_objects.end() && entry->first.starts_with(prefix); ++entry)
        listing.objects.push_back(entry->second);
    return listing;
}

void ObjectTable::restore(const Listing& copy)
{
    uint64_t era = eraOf(m_revision) + 1;
    m_objects.clear();
    for (Object object : copy.objects) {
        object.version = makeVersion(era, revisionOf(object.version));
        m_objects[object.name] = object;
    }
    m_revision = makeVersion(era, revisionOf(copy.revision));
    m_history.clear();
    m_historyBytes = 0;
    interruptWatches([](const std::string&) { return true; });
}

std::optional<Changes> ObjectTable::changesAfter(const std::string& prefix, Version since, Core::Reason& reason) const
{
    // Every write has its own revision, so that the history holds the last revisions without gaps.
    Version lastDropped = m_revision - m_history.size();
    if (since < lastDropped || since > m_revision) {
        reason = failure(Core::FailureKind::NotFound, "watch objects",
            "changes after revision " + std::to_string(since) + " are not available; revisions from "
                + std::to_string(lastDropped) + " to " + std::to_string(m_revision) + " are");
        return std::nullopt;
    }
    Changes changes { m_revision, {} };
    for (size_t i = since - lastDropped; i < m_history.size(); ++i) {
        if (m_history[i].object.name.starts_with(prefix))
            changes.changes.push_back(m_history[i]);
    }
    return changes;
}

Core::Task<std::optional<Changes>> ObjectTable::watch(
    std::string watcher, std::string prefix, Version since, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Changes> past = changesAfter(prefix, since, reason);
    if (!past || !past->changes.empty())
        co_return past;
    // The waiter collects its changes itself, because the history may drop them before this task goes on.
    std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(
        Waiter { std::move(watcher), std::move(prefix), Core::Signal(m_executor), {} });
    m_waiters.push_back(waiter);
    co_await waiter->signal.wait(deadline);
    m_waiters.remove(waiter);
    if (waiter->isInterrupted) {
        reason = failure(Core::FailureKind::Unavailable, "watch objects", "the watch was interrupted");
        co_return std::nullopt;
    }
    co_return Changes { m_revision, std::move(waiter->changes) };
}

void ObjectTable::interruptWatches(const std::function<bool(const std::string& watcher)>& fits)
{
    for (const std::shared_ptr<Waiter>& waiter : m_waiters) {
        if (!fits(waiter->watcher))
            continue;
        waiter->isInterrupted = true;
        waiter->signal.notifyAll();
    }
}

}
