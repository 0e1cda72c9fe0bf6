#include "PlatformFaults.h"

#include <nlohmann/json.hpp>

namespace Emulator {

using nlohmann::json;

// Longer outages and delays are assumed to be unit errors.
static constexpr uint64_t maxMilliseconds = 24ull * 3600 * 1000;

static bool failInvalid(const std::string& message, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, "set faults", "platform emulator", message };
    return false;
}

static bool readCount(const std::string& name, const json& value, uint64_t limit, uint64_t& result, Core::Reason& reason)
{
    if (!value.is_number_unsigned() || value.get<uint64_t>() > limit)
        return failInvalid("'" + name + "' must be an integer from 0 to " + std::to_string(limit), reason);
    result = value.get<uint64_t>();
    return true;
}

static bool readProbability(const json& value, double& result, Core::Reason& reason)
{
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > 1)
        return failInvalid("'lose_reply_probability' must be a number from 0 to 1", reason);
    result = value.get<double>();
    return true;
}

static bool readClients(const json& value, std::set<std::string>& result, Core::Reason& reason)
{
    result.clear();
    if (!value.is_array())
        return failInvalid("'blocked_clients' must be a list of names", reason);
    for (const json& client : value) {
        if (!client.is_string())
            return failInvalid("'blocked_clients' must be a list of names", reason);
        result.insert(client.get<std::string>());
    }
    return true;
}

bool PlatformFaults::apply(const std::string& text, Core::Reason& reason)
{
    json switches = json::parse(text, nullptr, false);
    if (!switches.is_object())
        return failInvalid("the body is not a JSON object", reason);
    PlatformFaults changed = *this;
    for (json::const_iterator item = switches.begin(); item != switches.end(); ++item) {
        uint64_t number = 0;
        bool isValid = true;
        if (item.key() == "outage_ms") {
            isValid = readCount(item.key(), item.value(), maxMilliseconds, number, reason);
            changed.m_outageEnd = Core::Deadline::after(std::chrono::milliseconds(number));
        } else if (item.key() == "delay_ms") {
            isValid = readCount(item.key(), item.value(), maxMilliseconds, number, reason);
            changed.m_delay = std::chrono::milliseconds(number);
        } else if (item.key() == "lose_replies") {
            isValid = readCount(item.key(), item.value(), UINT64_MAX, changed.m_loseReplies, reason);
        } else if (item.key() == "seed") {
            isValid = readCount(item.key(), item.value(), UINT64_MAX, number, reason);
            changed.m_generator.seed(number);
        } else if (item.key() == "lose_reply_probability") {
            isValid = readProbability(item.value(), changed.m_loseReplyProbability, reason);
        } else if (item.key() == "blocked_clients") {
            isValid = readClients(item.value(), changed.m_blockedClients, reason);
        } else {
            isValid = failInvalid("unknown fault switch '" + item.key() + "'", reason);
        }
        if (!isValid)
            return false;
    }
    *this = std::move(changed);
    return true;
}

bool PlatformFaults::consumeLostReply()
{
    if (m_loseReplies > 0) {
        --m_loseReplies;
        return true;
    }
    return m_loseReplyProbability > 0
        && std::uniform_real_distribution<double>(0, 1)(m_generator) < m_loseReplyProbability;
}

}
