#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

// XXH3 64-bit hash.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

// XXH3 128-bit hash as 32 hexadecimal digits.
std::string hash128Hex(std::string_view bytes);

// SHA-256 as 64 hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// HMAC-SHA256 as 64 hexadecimal digits.
std::string hmacSha256Hex(std::string_view key, std::string_view message);

// Compares two strings in time that depends only on their lengths.
bool constantTimeEqual(std::string_view, std::string_view);

}
