#include "FakeObjectStore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

static constexpr size_t maximumValueBytes = 1'000'000;

Platform::ObjectStore FakeObjectStore::client(const std::string& name)
{
    Platform::ObjectStore store;
    store.get = [this, name](std::string object, Core::Deadline, Core::Reason& reason) { return get(name, std::move(object), reason); };
    store.put = [this, name](std::string object, std::string value, Platform::Version expected, Core::Deadline, Core::Reason& reason) {
        return put(name, std::move(object), std::move(value), expected, reason);
    };
    store.list = [this, name](std::string prefix, Core::Deadline, Core::Reason& reason) { return list(name, std::move(prefix), reason); };
    return store;
}

Core::Task<void> FakeObjectStore::yieldRandomly()
{
    uint64_t iterations = 1 + m_random() % 4;
    for (uint64_t i = 0; i < iterations; ++i)
        co_await boost::asio::post(co_await boost::asio::this_coro::executor, boost::asio::use_awaitable);
}

bool FakeObjectStore::isReachable(const std::string& client, const std::string& step, Core::Reason& reason)
{
    if (m_writesLeft == 0) {
        reason = { Core::FailureKind::OutcomeUnknown, step, "store", "the client was stopped" };
        return false;
    }
    if (m_isDown || m_blocked[client] || chance(m_faults.unavailable)) {
        reason = { Core::FailureKind::Unavailable, step, "store", "outage" };
        return false;
    }
    if (chance(m_faults.rateLimited)) {
        reason = { Core::FailureKind::RateLimited, step, "store", "too many requests" };
        return false;
    }
    return true;
}

Core::Task<std::optional<Platform::Object>> FakeObjectStore::get(std::string client, std::string name, Core::Reason& reason)
{
    co_await yieldRandomly();
    if (!isReachable(client, "get", reason))
        co_return std::nullopt;
    std::map<std::string, Platform::Object>::iterator found = m_objects.find(name);
    if (found == m_objects.end()) {
        reason = { Core::FailureKind::NotFound, "get", "store", name };
        co_return std::nullopt;
    }
    co_return found->second;
}

Core::Task<std::optional<Platform::Version>> FakeObjectStore::put(std::string client, std::string name, std::string value, Platform::Version expected, Core::Reason& reason)
{
    ++m_putCalls;
    co_await yieldRandomly();
    if (!isReachable(client, "put", reason))
        co_return std::nullopt;
    if (!m_failWritesTo.empty() && name.ends_with(m_failWritesTo)) {
        reason = { Core::FailureKind::Unavailable, "put", "store", "writes of this object are refused" };
        co_return std::nullopt;
    }
    Core::Reason unknown { Core::FailureKind::OutcomeUnknown, "put", "store", "no reply" };
    if (chance(m_faults.requestLostWithUnknownOutcome)) {
        reason = unknown;
        co_return std::nullopt;
    }
    if (value.size() > maximumValueBytes) {
        reason = { Core::FailureKind::Invalid, "put", "store", "value too large" };
        co_return std::nullopt;
    }
    std::map<std::string, Platform::Object>::iterator found = m_objects.find(name);
    if ((found == m_objects.end() ? 0 : found->second.version) != expected) {
        reason = { Core::FailureKind::Conflict, "put", "store", name };
        co_return std::nullopt;
    }
    m_largestValue = std::max(m_largestValue, value.size());
    ++m_writes;
    if (m_writesLeft > 0)
        --m_writesLeft;
    Platform::Version version = ++m_revision;
    m_objects[name] = { name, version, std::move(value) };
    if (onWrite)
        onWrite(m_objects[name]);
    co_await yieldRandomly();
    bool losesReply = !m_loseReplyFor.empty() && name.ends_with(m_loseReplyFor);
    if (losesReply)
        m_loseReplyFor.clear();
    if (losesReply || m_writesLeft == 0 || chance(m_faults.replyLostAfterWrite)) {
        reason = unknown;
        co_return std::nullopt;
    }
    co_return version;
}

Core::Task<std::optional<Platform::Listing>> FakeObjectStore::list(std::string client, std::string prefix, Core::Reason& reason)
{
    co_await yieldRandomly();
    if (!isReachable(client, "list", reason))
        co_return std::nullopt;
    Platform::Listing listing { m_revision, {} };
    for (const std::pair<const std::string, Platform::Object>& object : m_objects) {
        if (object.first.starts_with(prefix))
            listing.objects.push_back(object.second);
    }
    co_return listing;
}
