#include "LibRelay/AnswerConfirmation.h"

#include "Events.h"
#include <utility>

namespace Relay {

using Core::Deadline;
using Core::SteadyClock;

// Answers are confirmed together in intervals of this length, which saves wake-ups.
static constexpr std::chrono::milliseconds confirmationInterval(200);
// Answers that wait for their confirmation. Further ones are not confirmed.
static constexpr size_t maxAnswers = 4'096;

AnswerConfirmation::AnswerConfirmation(const boost::asio::any_io_executor& executor, std::shared_ptr<HTTP::Client> client, CrashCheck& crashCheck,
    const EndpointSelector& selector, PromptQuarantine& quarantine, std::chrono::milliseconds survivalTime)
    : m_executor(executor)
    , m_client(std::move(client))
    , m_crashCheck(crashCheck)
    , m_selector(selector)
    , m_quarantine(quarantine)
    , m_survivalTime(survivalTime)
{
}

void AnswerConfirmation::add(const Endpoint& endpoint, std::string requestId, const std::vector<PromptPart>& parts)
{
    // Without a part that other prompts may share there is nothing to confirm.
    if (parts.size() < 2 || m_answers.size() >= maxAnswers)
        return;
    m_answers.push_back({ endpoint, std::move(requestId), parts, SteadyClock::now() });
    if (!std::exchange(m_isRunning, true))
        Core::spawn(m_executor, "confirm answers", run());
}

Core::Task<void> AnswerConfirmation::run()
{
    while (!m_answers.empty()) {
        co_await Core::sleepUntil(Deadline(m_answers.front().completedAt + m_survivalTime + std::min(confirmationInterval, m_survivalTime)));
        while (!m_answers.empty() && m_answers.front().completedAt + m_survivalTime <= SteadyClock::now()) {
            CompletedAnswer answer = std::move(m_answers.front());
            m_answers.pop_front();
            confirm(std::move(answer));
        }
    }
    m_isRunning = false;
}

void AnswerConfirmation::confirm(CompletedAnswer answer)
{
    SteadyClock::time_point now = SteadyClock::now();
    if (m_client->hasOpenConnection(answer.endpoint.address, answer.completedAt)) {
        m_quarantine.recordSurvival(answer.parts, now);
        return;
    }
    bool mayAsk = m_selector.isExpectedToRun(answer.endpoint) && !m_selector.isPaused(answer.endpoint, now);
    if (mayAsk && m_quarantine.hasUnprovenParts(answer.parts, now))
        Core::spawn(m_executor, "examine engine", examine(std::move(answer)));
}

Core::Task<void> AnswerConfirmation::examine(CompletedAnswer answer)
{
    EngineState state = co_await m_crashCheck.check(answer.endpoint);
    Core::logEvent(Events::engineChecked, "request=" + answer.requestId + " endpoint=" + answer.endpoint.id + " started_at_ms=" + std::to_string(answer.endpoint.startedAtMs) + " has_ended=" + std::to_string(state == EngineState::Ended) + " after=answer");
    if (state == EngineState::Running)
        m_quarantine.recordSurvival(answer.parts, SteadyClock::now());
    else if (state == EngineState::Ended)
        m_quarantine.recordCrash(answer.parts, { answer.endpoint.id, answer.endpoint.startedAtMs }, SteadyClock::now());
}

}
