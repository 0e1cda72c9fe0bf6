#pragma once

#include "LibCore/Address.h"
#include "LibHTTP/Client.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

enum class HostState {
    Live,
    Leaving,
};

// One line of the platform's host list.
struct HostRecord {
    std::string host;
    std::string failureDomain;
    HostState state { HostState::Live };
    bool operator==(const HostRecord&) const = default;
};

// JSON list of `{host, failure_domain, state: live|leaving}`.
std::string encodeHosts(const std::vector<HostRecord>&);
std::optional<std::vector<HostRecord>> decodeHosts(const std::string& bytes, Core::Reason&);

// Reads the platform's list of live and leaving hosts, which lags behind.
class HostList {
public:
    // The client name is this host's name; the platform sees it as X-Client.
    HostList(std::shared_ptr<HTTP::Client>, Core::Address, std::string clientName);

    // Fails with Unavailable, RateLimited, Refused, or Invalid for a malformed reply.
    Core::Task<std::optional<std::vector<HostRecord>>> read(Core::Deadline, Core::Reason&) const;

private:
    std::shared_ptr<HTTP::Client> m_client;
    Core::Address m_address;
    std::string m_clientName;
};

}
