#pragma once

#include "LibHTTP/Client.h"
#include "LibRelay/CrashCheck.h"
#include "LibRelay/EndpointSelector.h"
#include "LibRelay/PromptQuarantine.h"
#include <deque>
#include <string>
#include <vector>

namespace Relay {

// Finds out whether engines survive the answers that they have completed, which is the evidence on whether the parts of a prompt
// crash engines.
class AnswerConfirmation {
public:
    // An engine that still runs `survivalTime` after an answer has survived it.
    AnswerConfirmation(const boost::asio::any_io_executor&, std::shared_ptr<HTTP::Client>, CrashCheck&, const EndpointSelector&, PromptQuarantine&, std::chrono::milliseconds survivalTime);

    // Records that the endpoint has completed its answer to the request with these prompt parts.
    void add(const Endpoint&, std::string requestId, const std::vector<PromptPart>&);

private:
    struct CompletedAnswer {
        Endpoint endpoint;
        std::string requestId;
        std::vector<PromptPart> parts;
        Core::SteadyClock::time_point completedAt {};
    };

    Core::Task<void> run();
    void confirm(CompletedAnswer);
    // Asks the engine itself. This is needed only where no connection shows whether it runs.
    Core::Task<void> examine(CompletedAnswer);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<HTTP::Client> m_client;
    CrashCheck& m_crashCheck;
    const EndpointSelector& m_selector;
    PromptQuarantine& m_quarantine;
    std::chrono::milliseconds m_survivalTime;
    // Oldest first.
    std::deque<CompletedAnswer> m_answers;
    bool m_isRunning { false };
};

}
