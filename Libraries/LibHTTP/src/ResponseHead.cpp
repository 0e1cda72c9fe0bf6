#include "ResponseHead.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cctype>
#include <sstream>

namespace HTTP {

// Statuses outside these bounds have no class (RFC 9110, section 15).
static constexpr unsigned minStatus = 100;
static constexpr unsigned maxStatus = 599;
static constexpr unsigned switchingProtocols = 101;
static constexpr unsigned noContent = 204;

// Whether the body is in a transfer coding that the parser does not undo. It removes "chunked" if that is the last one of a field, and
// takes the body of any other field as it is. Transfer codings came with HTTP/1.1 (RFC 9112, section 6.1).
static bool hasUnknownFraming(const ResponseHead& head)
{
    size_t codings = 0;
    for (const Header& header : head.headers) {
        if (!boost::beast::iequals(header.name, "Transfer-Encoding"))
            continue;
        ++codings;
        if (!boost::beast::iequals(header.value, "chunked"))
            return true;
    }
    return codings > 1 || (codings > 0 && !head.isHTTP11);
}

// The elements of the comma-separated lists of all fields with this name, in lower case.
static std::vector<std::string> listElements(const Headers& headers, std::string_view name)
{
    std::vector<std::string> elements;
    for (const Header& header : headers) {
        if (!boost::beast::iequals(header.name, name))
            continue;
        std::stringstream list(header.value + ",");
        for (std::string element; std::getline(list, element, ',');) {
            std::erase_if(element, [](unsigned char character) { return std::isspace(character) != 0; });
            std::transform(element.begin(), element.end(), element.begin(), [](unsigned char character) { return std::tolower(character); });
            elements.push_back(std::move(element));
        }
    }
    return elements;
}

// The client decodes no body, so only a caller that names a coding can read it.
static bool hasUnrequestedCoding(const Headers& headers, const Headers& requestHeaders)
{
    static constexpr std::string_view identity = "identity";
    std::vector<std::string> used = listElements(headers, "Content-Encoding");
    if (used.empty())
        return false;
    std::vector<std::string> requested;
    for (const std::string& element : listElements(requestHeaders, "Accept-Encoding")) {
        size_t parameters = element.find(';');
        static constexpr std::string_view zero = "0.";
        std::string_view weight = std::string_view(element).substr(std::min(element.size(), element.find("q=", std::min(parameters, element.size()))));
        bool isExcluded = weight.starts_with("q=") && weight.find_first_not_of(zero, 2) == std::string_view::npos;
        if (!isExcluded)
            requested.push_back(element.substr(0, parameters));
    }
    return std::any_of(used.begin(), used.end(), [&requested](const std::string& coding) {
        return coding.empty() || coding == identity || std::find(requested.begin(), requested.end(), coding) == requested.end();
    });
}

std::optional<std::string> findFault(const ResponseHead& head, const Headers& requestHeaders)
{
    if (head.status < minStatus || head.status > maxStatus)
        return "the status " + std::to_string(head.status) + " is not between " + std::to_string(minStatus) + " and " + std::to_string(maxStatus);
    // What follows is not HTTP. The client never asks for that.
    if (head.status == switchingProtocols)
        return "the peer switched to another protocol";
    if (head.hasFoldedLine)
        return "a line of the head begins with a blank";
    if (hasUnknownFraming(head))
        return "the transfer coding is not chunked alone, or the version has none";
    if (hasUnrequestedCoding(head.headers, requestHeaders))
        return "the body is in a content coding that was not requested";
    return std::nullopt;
}

bool announcesForbiddenBody(const ResponseHead& head)
{
    return head.status == noContent && (findHeader(head.headers, "Transfer-Encoding") || findHeader(head.headers, "Content-Length").value_or("0") != "0");
}

}
