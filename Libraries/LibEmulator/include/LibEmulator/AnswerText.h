#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Emulator {

// The completion that an emulated engine generates for a prompt. It is a function of the prompt and the token limit
// only, so that a client can verify that a response is complete and belongs to its request.
class AnswerText {
public:
    // maxTokens must be at least 1.
    AnswerText(std::string_view prompt, int64_t maxTokens);

    // One token for each 4 bytes, rounded up.
    int64_t promptTokens() const { return m_promptTokens; }
    // Number of tokens of the complete answer: between half of the limit and the limit.
    int64_t length() const { return m_length; }
    // "length" if the limit was reached, otherwise "stop".
    const char* finishReason() const { return m_length == m_maxTokens ? "length" : "stop"; }

    // The token at an index below length(): letters and a space, which need no JSON escaping.
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
