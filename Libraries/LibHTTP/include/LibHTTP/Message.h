#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HTTP {

// A header field. Names are case-insensitive.
struct Header {
    std::string name;
    std::string value;
    bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

// Returns the value of the first header with this name.
std::optional<std::string> findHeader(const Headers&, std::string_view name);

// Returns the media type of the Content-Type header in lower case, without parameters; empty if there is none.
std::string mediaType(const Headers&);

struct Request {
    std::string method { "GET" };
    std::string target { "/" };
    Headers headers;
    std::string body;
    bool operator==(const Request&) const = default;
};

struct Response {
    unsigned status { 200 };
    Headers headers;
    std::string body;
    bool operator==(const Response&) const = default;
};

// Returns the path of a request target, without the query.
std::string pathOf(std::string_view target);

// Returns the percent-decoded value of a query parameter.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string encodeComponent(std::string_view);

}
