#include "LibEmulator/AnswerText.h"

#include "LibCore/Hash.h"

namespace Emulator {

static constexpr int64_t bytesPerPromptToken = 4;
static constexpr int lettersPerToken = 4;
// Hash seed that makes the answer's length independent of its tokens.
static constexpr uint64_t lengthSeed = 0x6c656e677468;

AnswerText::AnswerText(std::string_view prompt, int64_t maxTokens)
    : m_promptHash(Core::hash64(prompt))
    , m_promptTokens((static_cast<int64_t>(prompt.size()) + bytesPerPromptToken - 1) / bytesPerPromptToken)
    , m_maxTokens(maxTokens)
    , m_length(maxTokens - static_cast<int64_t>(Core::hash64(prompt, lengthSeed) % static_cast<uint64_t>(maxTokens / 2 + 1)))
{
}

std::string AnswerText::token(int64_t index) const
{
    std::string_view indexBytes(reinterpret_cast<const char*>(&index), sizeof(index));
    uint64_t hash = Core::hash64(indexBytes, m_promptHash);
    std::string text;
    for (int letter = 0; letter < lettersPerToken; ++letter) {
        text.push_back(static_cast<char>('a' + hash % 26));
        hash /= 26;
    }
    text.push_back(' ');
    return text;
}

std::string AnswerText::firstTokens(int64_t count) const
{
    std::string text;
    for (int64_t index = 0; index < count; ++index)
        text += token(index);
    return text;
}

}
