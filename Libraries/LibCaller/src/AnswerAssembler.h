#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Caller {

// Builds the whole chat completion out of the events of a stream.
class AnswerAssembler {
public:
    // Adds complete SSE events; false when one cannot be parsed.
    bool add(std::string_view events);

    // The body of the whole answer, taking finish reason and usage from the last event.
    std::optional<std::string> finish(std::string_view finalEvent);

private:
    std::string m_content;
};

}
