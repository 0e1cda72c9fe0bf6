#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Emulator {

// The answer that an emulated engine gives to a prompt. It depends only on the prompt and on the limit, so that a
// caller can check that an answer is whole and its own.
class AnswerText {
public:
    // maxTokens is at least 1.
    AnswerText(std::string_view prompt, int64_t maxTokens);

    // One token for each 4 bytes, rounded up.
    int64_t promptTokens() const { return m_promptTokens; }
    // Number of tokens of the whole answer: between half of the limit and the limit.
    int64_t length() const { return m_length; }
    // "length" when the limit was reached, else "stop".
    const char* finishReason() const { return m_length == m_maxTokens ? "length" : "stop"; }

    // The token at an index below length(): a few letters and a space, never in need of JSON escapes.
    std::string token(int64_t index) const;

    // The first count tokens.
    std::string firstTokens(int64_t count) const;
    std::string whole() const { return firstTokens(m_length); }

private:
    uint64_t m_promptHash;
    int64_t m_promptTokens;
    int64_t m_maxTokens;
    int64_t m_length;
};

}
