#include "LibCore/Random.h"

#include <array>

namespace Core {

std::mt19937_64& randomGenerator()
{
    static std::mt19937_64 generator(std::random_device {}());
    return generator;
}

void seedRandom(uint64_t seed)
{
    randomGenerator().seed(seed);
}

uint64_t randomBelow(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(randomGenerator());
}

std::string randomIdentifier()
{
    static std::random_device device;
    static const char digits[] = "0123456789abcdef";
    std::string identifier;
    identifier.reserve(32);
    for (int word = 0; word < 4; ++word) {
        uint32_t bits = device();
        for (int digit = 0; digit < 8; ++digit)
            identifier.push_back(digits[(bits >> (4 * digit)) & 15]);
    }
    return identifier;
}

}
