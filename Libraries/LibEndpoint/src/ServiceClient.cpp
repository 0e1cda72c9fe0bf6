#include "LibEndpoint/ServiceClient.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Endpoint {

static constexpr size_t maxResponseBytes = 8 * 1024 * 1024;

// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the HTTP client sets itself.
static constexpr std::array<std::string_view, 10> hopByHopHeaders {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect"
};

static std::string toLowercase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

// Whether the value of a Connection header lists the header name.
static bool listsHeader(const std::string& list, const std::string& name)
{
    std::string normalized = "," + list + ",";
    std::erase(normalized, ' ');
    std::erase(normalized, '\t');
    return normalized.find("," + name + ",") != std::string::npos;
}

static HTTP::Headers endToEndHeaders(const HTTP::Headers& headers)
{
    std::string connectionOptions = toLowercase(HTTP::findHeader(headers, "Connection").value_or(""));
    HTTP::Headers forwarded;
    for (const HTTP::Header& header : headers) {
        std::string name = toLowercase(header.name);
        bool isHopByHop = std::find(hopByHopHeaders.begin(), hopByHopHeaders.end(), name) != hopByHopHeaders.end();
        if (!isHopByHop && !listsHeader(connectionOptions, name))
            forwarded.push_back(header);
    }
    return forwarded;
}

ServiceClient::ServiceClient(HTTP::Client& client)
    : m_client(client)
{
}

Core::Task<std::optional<HTTP::Response>> ServiceClient::call(
    Core::Address address, HTTP::Request request, Core::Deadline deadline, HTTP::SendGuard guard, Core::Reason& reason)
{
    request.headers = endToEndHeaders(request.headers);
    // The connection is not reused.
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
