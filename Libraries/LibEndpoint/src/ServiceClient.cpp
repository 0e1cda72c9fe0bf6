#include "LibEndpoint/ServiceClient.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Endpoint {

static constexpr size_t maxResponseBytes = 8 * 1024 * 1024;

// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the client sets itself.
static constexpr std::array<std::string_view, 10> connectionHeaders {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect"
};

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

// Whether the Connection header's list of names contains the name.
static bool isListed(const std::string& list, const std::string& name)
{
    std::string normalised = "," + list + ",";
    std::erase(normalised, ' ');
    std::erase(normalised, '\t');
    return normalised.find("," + name + ",") != std::string::npos;
}

static HTTP::Headers endToEndHeaders(const HTTP::Headers& headers)
{
    std::string listed = lowerCase(HTTP::findHeader(headers, "Connection").value_or(""));
    HTTP::Headers kept;
    for (const HTTP::Header& header : headers) {
        std::string name = lowerCase(header.name);
        bool isConnectionHeader = std::find(connectionHeaders.begin(), connectionHeaders.end(), name) != connectionHeaders.end();
        if (!isConnectionHeader && !isListed(listed, name))
            kept.push_back(header);
    }
    return kept;
}

ServiceClient::ServiceClient(HTTP::Client& client)
    : m_client(client)
{
}

Core::Task<std::optional<HTTP::Response>> ServiceClient::call(
    Core::Address address, HTTP::Request request, Core::Deadline deadline, HTTP::SendGuard guard, Core::Reason& reason)
{
    request.headers = endToEndHeaders(request.headers);
    // The connection is not used again, so the service need not keep it.
    request.headers.push_back({ "Connection", "close" });
    bool wasSent = false;
    HTTP::SendGuard recordingGuard = [&wasSent, &guard]() {
        wasSent = !guard || guard();
        return wasSent;
    };
    HTTP::CallOptions options;
    options.use = HTTP::ConnectionUse::Fresh;
    options.guard = std::move(recordingGuard);
    std::optional<std::unique_ptr<HTTP::ResponseStream>> stream
        = co_await m_client.call(address, std::move(request), deadline, std::move(options), reason);
    std::optional<std::string> body;
    if (stream)
        body = co_await (*stream)->readAll(maxResponseBytes, deadline, reason);
    if (!body) {
        if (wasSent)
            reason.kind = Core::FailureKind::OutcomeUnknown;
        if (reason.peer.empty())
            reason.peer = address.text();
        co_return std::nullopt;
    }
    co_return HTTP::Response { (*stream)->status(), endToEndHeaders((*stream)->headers()), std::move(*body) };
}

}
