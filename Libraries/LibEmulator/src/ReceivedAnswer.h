#pragma once

#include "LibEmulator/AnswerText.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Emulator {

// An answer as a caller receives it, streamed or whole. Shares no code with the router's reading of streams.
class ReceivedAnswer {
public:
    // Takes the next bytes of an event stream; returns the number of new tokens.
    int64_t takeBytes(std::string_view);

    // Takes a whole answer's body.
    void takeWhole(const std::string& body);

    // Whether the end marker, or the whole body, has arrived.
    bool hasEnded() const { return m_hasEnded; }
    // The code of an error event; empty when there was none.
    const std::string& errorCode() const { return m_errorCode; }
    int64_t promptTokens() const { return m_promptTokens; }
    int64_t completionTokens() const { return m_completionTokens; }

    // What is wrong with the answer so far, compared with the expected one; empty when nothing is. An answer that has
    // not ended must be a beginning of the expected one.
    std::string faultAgainst(const AnswerText& expected) const;

private:
    int64_t takeEvent(std::string_view event);
    int64_t takeChunk(const nlohmann::json&);
    void takeUsage(const nlohmann::json&);

    std::string m_buffer;
    std::string m_id;
    std::string m_content;
    std::string m_finishReason;
    std::string m_errorCode;
    // The first violation of the protocol.
    std::string m_fault;
    int64_t m_promptTokens { -1 };
    int64_t m_completionTokens { -1 };
    bool m_hasEnded { false };
};

}
