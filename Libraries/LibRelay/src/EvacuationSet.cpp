#include "LibRelay/EvacuationSet.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace Relay {

using std::chrono::milliseconds;

// A watch takes this part of the limit. The rest is for noticing that the watch has failed, reading the list again, through a peer if
// need be, and for hosts whose timers fire late.
static constexpr int64_t watchNumerator = 2;
static constexpr int64_t watchDenominator = 5;
static constexpr int64_t minWatchMs = 500;
static constexpr int64_t maxWatchMs = 10'000;
static constexpr int64_t batchWindowMs = 250;
// Time for the answer of a watch after its wait.
static constexpr int64_t answerMarginMs = 500;

static int64_t watchTimeMs(milliseconds limit)
{
    return std::clamp(std::min<int64_t>(limit.count(), maxWatchMs * watchDenominator) * watchNumerator / watchDenominator, minWatchMs, maxWatchMs);
}

// The text with percent-encoded bytes decoded. A sequence that is not valid is left as it is.
static std::string percentDecoded(const std::string& text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char* end = text.data() + i + 3;
            std::from_chars_result result = std::from_chars(text.data() + i + 1, end, value, 16);
            if (result.ec == std::errc() && result.ptr == end) {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

EvacuationSet::EvacuationSet(std::string prefix, EvacuationHooks hooks)
    : m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
{
}

FollowerSettings EvacuationSet::followerSettings(milliseconds limit)
{
    FollowerSettings settings;
    settings.watchMs = watchTimeMs(limit);
    settings.batchWindowMs = batchWindowMs;
    settings.peerWatchMs = std::min(settings.peerWatchMs, settings.watchMs);
    settings.maxSharedAgeMs = settings.watchMs + answerMarginMs;
    return settings;
}

void EvacuationSet::replaceAll(const std::vector<Platform::Object>& objects)
{
    m_names.clear();
    for (const Platform::Object& object : objects)
        m_names.insert(object.name.substr(std::min(m_prefix.size(), object.name.size())));
    update();
}

void EvacuationSet::adopt(const Platform::Change& change)
{
    std::string name = change.object.name.substr(std::min(m_prefix.size(), change.object.name.size()));
    if (change.isDeleted)
        m_names.erase(name);
    else
        m_names.insert(std::move(name));
    update();
}

void EvacuationSet::update()
{
    std::set<std::string> failureDomains;
    for (const std::string& name : m_names) {
        if (name.empty())
            continue;
        failureDomains.insert(name);
        // A client that encodes the name twice stores it encoded.
        failureDomains.insert(percentDecoded(name));
    }
    std::set<std::string> before = std::exchange(m_failureDomains, std::move(failureDomains));
    auto report = [](const std::set<std::string>& added, const std::set<std::string>& known, const std::function<void(const std::string&)>& hook) {
        std::vector<std::string> difference;
        std::set_difference(added.begin(), added.end(), known.begin(), known.end(), std::back_inserter(difference));
        for (const std::string& failureDomain : difference) {
            if (hook)
                hook(failureDomain);
        }
    };
    report(m_failureDomains, before, m_hooks.adopted);
    report(before, m_failureDomains, m_hooks.lifted);
}

}
