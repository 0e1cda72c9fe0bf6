#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Core {

// The process-wide generator for choices and jitter. Seeded from the system unless seedRandom was called.
std::mt19937_64& randomGenerator();
void seedRandom(uint64_t seed);

// A uniform number in [0, bound); bound must be positive.
uint64_t randomBelow(uint64_t bound);

// 128 random bits from the system's generator as 32 hexadecimal digits, for identities that must be unique.
std::string randomIdentifier();

}
