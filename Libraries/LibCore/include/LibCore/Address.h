#pragma once

#include "LibCore/Reason.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Core {

// An IP number and a TCP port.
struct Address {
    std::string ip;
    uint16_t port { 0 };

    std::string text() const { return ip + ":" + std::to_string(port); }
    auto operator<=>(const Address&) const = default;

    // Parses "127.0.0.1:8080" or "[::1]:8080". Host names are refused: processes find each other by IP number.
    static std::optional<Address> parse(const std::string& text, Reason&);
};

}
