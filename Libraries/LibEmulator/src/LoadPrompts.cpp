#include "LoadPrompts.h"

#include "LibCore/Hash.h"
#include <random>

namespace Emulator {

static std::string randomWords(int64_t bytes, uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::string text;
    while (static_cast<int64_t>(text.size()) < bytes) {
        uint64_t letters = generator();
        for (int letter = 0; letter < 6; ++letter) {
            text.push_back(static_cast<char>('a' + letters % 26));
            letters /= 26;
        }
        text.push_back(' ');
    }
    text.resize(static_cast<size_t>(bytes));
    return text;
}

std::string loadPrompt(const LoadSettings& settings, int64_t index)
{
    std::string prompt;
    if (settings.prefixes > 0) {
        int64_t prefix = index % settings.prefixes;
        prompt = randomWords(settings.prefixBytes, Core::hash64("prefix " + std::to_string(prefix), settings.seed));
    }
    std::string uniquePart = "request " + std::to_string(index) + ": ";
    return prompt + uniquePart + randomWords(settings.promptBytes, Core::hash64(uniquePart, settings.seed));
}

}
