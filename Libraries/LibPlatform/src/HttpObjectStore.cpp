#include "LibPlatform/HttpObjectStore.h"

#include "ApiCall.h"
#include "LibPlatform/ObjectCodec.h"
#include <algorithm>

namespace Platform {

using namespace std::chrono_literals;

static constexpr std::chrono::milliseconds maxWatchHold = 30s;
// Time for the empty reply of a watch to arrive before the deadline.
static constexpr std::chrono::milliseconds maxReplyTime = 1s;
// A shorter last hold is added to the one before, because its reply might not arrive before the deadline.
static constexpr std::chrono::milliseconds minLastHold = 5s;

static std::optional<Version> versionIn(const Answer& answer)
{
    std::optional<std::string> tag = HTTP::findHeader(answer.headers, "ETag");
    return tag ? parseETag(*tag) : std::nullopt;
}

static Core::Reason malformed(Core::FailureKind kind, const char* step, const Api& api, std::string message)
{
    return { kind, step, api.address.text(), std::move(message) };
}

static Core::Task<std::optional<Object>> get(Api api, std::string name, Core::Deadline deadline, Core::Reason& reason)
{
    HTTP::Request request { "GET", objectPath(name), {}, "" };
    std::optional<Answer> answer = co_await callApi(api, Operation::Get, std::move(request), deadline, reason);
    if (!answer)
        co_return std::nullopt;
    std::optional<Version> version = versionIn(*answer);
    if (!version) {
        reason = malformed(Core::FailureKind::Invalid, "get object", api, "the reply for '" + name + "' has no valid ETag");
        co_return std::nullopt;
    }
    co_return Object { std::move(name), *version, std::move(answer->body) };
}

static HTTP::Header condition(Version expected)
{
    if (expected == 0)
        return { "If-None-Match", "*" };
    return { "If-Match", formatETag(expected) };
}

static Core::Task<std::optional<Version>> put(
    Api api, std::string name, std::string value, Version expected, Core::Deadline deadline, Core::Reason& reason)
{
    if (value.size() > maxValueBytes) {
        reason = malformed(Core::FailureKind::Invalid, "put object", api,
            "the value of '" + name + "' has " + std::to_string(value.size()) + " bytes, more than " + std::to_string(maxValueBytes));
        co_return std::nullopt;
    }
    HTTP::Request request { "PUT", objectPath(name), { condition(expected) }, std::move(value) };
    std::optional<Answer> answer = co_await callApi(api, Operation::Put, std::move(request), deadline, reason);
    if (!answer)
        co_return std::nullopt;
    std::optional<Version> version = versionIn(*answer);
    // The value was written, but at an unknown version.
    if (!version)
        reason = malformed(Core::FailureKind::OutcomeUnknown, "put object", api, "the reply for '" + name + "' has no valid ETag");
    co_return version;
}

static Core::Task<bool> remove(Api api, std::string name, Version expected, Core::Deadline deadline, Core::Reason& reason)
{
    HTTP::Request request { "DELETE", objectPath(name), { { "If-Match", formatETag(expected) } }, "" };
    std::optional<Answer> answer = co_await callApi(api, Operation::Remove, std::move(request), deadline, reason);
    co_return answer.has_value();
}

static Core::Task<std::optional<Listing>> list(Api api, std::string prefix, Core::Deadline deadline, Core::Reason& reason)
{
    HTTP::Request request { "GET", "/v1/list?prefix=" + HTTP::encodeComponent(prefix), {}, "" };
    std::optional<Answer> answer = co_await callApi(api, Operation::List, std::move(request), deadline, reason);
    if (!answer)
        co_return std::nullopt;
    co_return decodeListing(answer->body, reason);
}

// One held request; the platform answers before the deadline unless it fails.
static Core::Task<std::optional<Changes>> watchOnce(
    Api api, std::string prefix, Version since, Core::Deadline deadline, Core::Reason& reason)
{
    std::chrono::milliseconds remaining = deadline.remaining();
    std::chrono::milliseconds hold = remaining - std::min(maxReplyTime, remaining / 4);
    std::string target = "/v1/watch?prefix=" + HTTP::encodeComponent(prefix) + "&since=" + std::to_string(since)
        + "&timeout_ms=" + std::to_string(hold.count());
    HTTP::Request request { "GET", std::move(target), {}, "" };
    std::optional<Answer> answer = co_await callApi(api, Operation::Watch, std::move(request), deadline, reason);
    if (!answer)
        co_return std::nullopt;
    std::optional<Changes> changes = decodeChanges(answer->body, reason);
    if (changes && changes->revision < since) {
        reason = malformed(Core::FailureKind::Invalid, "watch objects", api, "the reply's revision is before the one asked for");
        co_return std::nullopt;
    }
    co_return changes;
}

static Core::Task<std::optional<Changes>> watch(
    Api api, std::string prefix, Version since, Core::Deadline deadline, Core::Reason& reason)
{
    for (;;) {
        bool isLast = deadline.remaining() < maxWatchHold + minLastHold;
        Core::Deadline renewal = isLast ? deadline : Core::Deadline::after(maxWatchHold);
        std::optional<Changes> changes = co_await watchOnce(api, prefix, since, renewal, reason);
        if (!changes || !changes->changes.empty() || isLast)
            co_return changes;
        since = changes->revision;
    }
}

HttpObjectStore::HttpObjectStore(std::shared_ptr<HTTP::Client> client, Core::Address address, std::string clientName)
    : m_client(std::move(client))
    , m_address(std::move(address))
    , m_clientName(std::move(clientName))
{
}

ObjectStore HttpObjectStore::hooks() const
{
    Api api { m_client, m_address, m_clientName };
    ObjectStore store;
    store.get = [api](std::string name, Core::Deadline deadline, Core::Reason& reason) {
        return get(api, std::move(name), deadline, reason);
    };
    store.put = [api](std::string name, std::string value, Version expected, Core::Deadline deadline, Core::Reason& reason) {
        return put(api, std::move(name), std::move(value), expected, deadline, reason);
    };
    store.remove = [api](std::string name, Version expected, Core::Deadline deadline, Core::Reason& reason) {
        return remove(api, std::move(name), expected, deadline, reason);
    };
    store.list = [api](std::string prefix, Core::Deadline deadline, Core::Reason& reason) {
        return list(api, std::move(prefix), deadline, reason);
    };
    store.watch = [api](std::string prefix, Version since, Core::Deadline deadline, Core::Reason& reason) {
        return watch(api, std::move(prefix), since, deadline, reason);
    };
    return store;
}

}
