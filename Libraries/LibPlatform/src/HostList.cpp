#include "LibPlatform/HostList.h"

#include "ApiCall.h"
#include <nlohmann/json.hpp>

namespace Platform {

using nlohmann::json;

static std::nullopt_t malformed(std::string message, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, "decode host list", "platform", std::move(message) };
    return std::nullopt;
}

static std::optional<std::string> textOf(const json& item, const char* key)
{
    json::const_iterator found = item.find(key);
    if (found == item.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

static std::optional<HostRecord> recordFrom(const json& item, Core::Reason& reason)
{
    if (!item.is_object())
        return malformed("an item is not an object", reason);
    std::optional<std::string> host = textOf(item, "host");
    std::optional<std::string> failureDomain = textOf(item, "failure_domain");
    std::optional<std::string> state = textOf(item, "state");
    if (!host || host->empty())
        return malformed("an item has no host", reason);
    if (!failureDomain)
        return malformed("'" + *host + "' has no failure_domain", reason);
    if (state != "live" && state != "leaving")
        return malformed("the state of '" + *host + "' is neither live nor leaving", reason);
    return HostRecord { *host, *failureDomain, state == "live" ? HostState::Live : HostState::Leaving };
}

std::string encodeHosts(const std::vector<HostRecord>& hosts)
{
    json items = json::array();
    for (const HostRecord& record : hosts) {
        items.push_back({ { "host", record.host }, { "failure_domain", record.failureDomain },
            { "state", record.state == HostState::Live ? "live" : "leaving" } });
    }
    return items.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<HostRecord>> decodeHosts(const std::string& bytes, Core::Reason& reason)
{
    json items = json::parse(bytes, nullptr, false);
    if (!items.is_array())
        return malformed("the text is not a JSON list", reason);
    std::vector<HostRecord> hosts;
    for (const json& item : items) {
        std::optional<HostRecord> record = recordFrom(item, reason);
        if (!record)
            return std::nullopt;
        hosts.push_back(std::move(*record));
    }
    return hosts;
}

HostList::HostList(std::shared_ptr<HTTP::Client> client, Core::Address address, std::string clientName)
    : m_client(std::move(client))
    , m_address(std::move(address))
    , m_clientName(std::move(clientName))
{
}

static Core::Task<std::optional<std::vector<HostRecord>>> readHosts(Api api, Core::Deadline deadline, Core::Reason& reason)
{
    HTTP::Request request { "GET", "/v1/hosts", {}, "" };
    std::optional<Answer> answer = co_await callApi(api, Operation::Hosts, std::move(request), deadline, reason);
    if (!answer)
        co_return std::nullopt;
    co_return decodeHosts(answer->body, reason);
}

Core::Task<std::optional<std::vector<HostRecord>>> HostList::read(Core::Deadline deadline, Core::Reason& reason) const
{
    return readHosts({ m_client, m_address, m_clientName }, deadline, reason);
}

}
