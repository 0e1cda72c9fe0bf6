#include "LibCore/Hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace Core {

static std::string toHex(const unsigned char* bytes, size_t size)
{
    static const char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2);
    for (size_t i = 0; i < size; ++i) {
        hex.push_back(digits[bytes[i] >> 4]);
        hex.push_back(digits[bytes[i] & 15]);
    }
    return hex;
}

uint64_t hash64(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string hash128Hex(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    return toHex(canonical.digest, sizeof(canonical.digest));
}

std::string sha256Hex(std::string_view bytes)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest);
    return toHex(digest, sizeof(digest));
}

std::string hmacSha256Hex(std::string_view key, std::string_view message)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest, &size);
    return toHex(digest, size);
}

bool constantTimeEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
