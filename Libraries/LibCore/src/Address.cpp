#include "LibCore/Address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace Core {

static std::nullopt_t fail(const std::string& text, const char* message, Reason& reason)
{
    reason = { FailureKind::Invalid, "parse address", text, message };
    return std::nullopt;
}

std::optional<Address> Address::parse(const std::string& text, Reason& reason)
{
    size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return fail(text, "expected IP number, colon and port", reason);
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(ip, error);
    if (error)
        return fail(text, "the part before the port is not an IP number", reason);
    uint16_t port = 0;
    const char* end = text.data() + text.size();
    std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return fail(text, "the port is not a number from 0 to 65535", reason);
    return Address { ip, port };
}

}
