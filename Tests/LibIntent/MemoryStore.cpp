#include "MemoryStore.h"

using Core::FailureKind;

MemoryStore::MemoryStore(const boost::asio::any_io_executor& executor)
    : m_changed(executor)
{
}

Platform::ObjectStore MemoryStore::hooks()
{
    Platform::ObjectStore store;
    store.get = [this](std::string name, Core::Deadline, Core::Reason& reason) { return get(std::move(name), reason); };
    store.put = [this](std::string name, std::string value, Platform::Version expected, Core::Deadline, Core::Reason& reason) {
        return put(std::move(name), std::move(value), expected, reason);
    };
    store.list = [this](std::string prefix, Core::Deadline, Core::Reason& reason) { return list(std::move(prefix), reason); };
    store.watch = [this](std::string prefix, Platform::Version since, Core::Deadline deadline, Core::Reason& reason) {
        return watch(std::move(prefix), since, deadline, reason);
    };
    return store;
}

bool MemoryStore::injectFault(Core::Reason& reason)
{
    if (faults.isDown) {
        reason = { FailureKind::Unavailable, "call", "platform", "down" };
        return true;
    }
    if (faults.rateLimited > 0) {
        --faults.rateLimited;
        reason = { FailureKind::RateLimited, "call", "platform", "rate limit" };
        return true;
    }
    return false;
}

void MemoryStore::set(const std::string& name, std::string value)
{
    m_objects[name] = { name, ++m_revision, std::move(value) };
    m_changed.notifyAll();
}

std::optional<Platform::Version> MemoryStore::write(const std::string& name, std::string value, Platform::Version expected, Core::Reason& reason)
{
    Platform::Version version = m_objects.contains(name) ? m_objects[name].version : 0;
    if (version != expected) {
        reason = { FailureKind::Conflict, "put", "platform", "version " + std::to_string(version) };
        return std::nullopt;
    }
    set(name, std::move(value));
    return m_revision;
}

Core::Task<std::optional<Platform::Object>> MemoryStore::get(std::string name, Core::Reason& reason)
{
    ++counters.gets;
    if (injectFault(reason))
        co_return std::nullopt;
    if (!m_objects.contains(name)) {
        reason = { FailureKind::NotFound, "get", "platform", name };
        co_return std::nullopt;
    }
    co_return m_objects[name];
}

Core::Task<std::optional<Platform::Version>> MemoryStore::put(std::string name, std::string value, Platform::Version expected, Core::Reason& reason)
{
    ++counters.puts;
    if (injectFault(reason))
        co_return std::nullopt;
    if (beforePut)
        beforePut();
    if (m_delayedWrite) {
        m_delayedWrite();
        m_delayedWrite = nullptr;
    }
    if (faults.delayedWrites > 0) {
        --faults.delayedWrites;
        m_delayedWrite = [this, name, value, expected] {
            Core::Reason ignored;
            write(name, value, expected, ignored);
        };
        reason = { FailureKind::OutcomeUnknown, "put", "platform", "reply lost" };
        co_return std::nullopt;
    }
    std::optional<Platform::Version> version = write(name, std::move(value), expected, reason);
    if (faults.lostReplies > 0) {
        --faults.lostReplies;
        reason = { FailureKind::OutcomeUnknown, "put", "platform", "reply lost" };
        co_return std::nullopt;
    }
    co_return version;
}

Core::Task<std::optional<Platform::Listing>> MemoryStore::list(std::string prefix, Core::Reason& reason)
{
    ++counters.lists;
    if (injectFault(reason))
        co_return std::nullopt;
    Platform::Listing listing { m_revision, {} };
    for (const auto& [name, object] : m_objects) {
        if (name.starts_with(prefix))
            listing.objects.push_back(object);
    }
    co_return listing;
}

Core::Task<std::optional<Platform::Changes>> MemoryStore::watch(std::string prefix, Platform::Version since, Core::Deadline deadline, Core::Reason& reason)
{
    ++counters.watches;
    while (true) {
        if (injectFault(reason))
            co_return std::nullopt;
        if (since < faults.oldestRevision) {
            reason = { FailureKind::NotFound, "watch", "platform", "revision too old" };
            co_return std::nullopt;
        }
        Platform::Changes changes { m_revision, {} };
        for (const auto& [name, object] : m_objects) {
            if (name.starts_with(prefix) && object.version > since)
                changes.changes.push_back({ object, false });
        }
        if (!changes.changes.empty() || !co_await m_changed.wait(deadline))
            co_return changes;
    }
}
