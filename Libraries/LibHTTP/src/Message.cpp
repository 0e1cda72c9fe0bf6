#include "LibHTTP/Message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cctype>

namespace HTTP {

std::optional<std::string> findHeader(const Headers& headers, std::string_view name)
{
    for (const Header& header : headers) {
        if (boost::beast::iequals(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::string mediaType(const Headers& headers)
{
    std::string text = findHeader(headers, "Content-Type").value_or("");
    text.erase(std::min(text.find_first_of("; \t"), text.size()));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

static int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

static std::string decodeComponent(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view query = target.substr(question + 1);
    while (!query.empty()) {
        std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : decodeComponent(pair.substr(equals + 1));
    }
    return std::nullopt;
}

std::string encodeComponent(std::string_view text)
{
    static const char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (char c : text) {
        if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded.push_back(c);
            continue;
        }
        unsigned char byte = static_cast<unsigned char>(c);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4]);
        encoded.push_back(digits[byte & 15]);
    }
    return encoded;
}

}
