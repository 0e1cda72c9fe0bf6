#include "LibRelay/LinkMonitor.h"

#include <algorithm>

namespace Relay {

using std::chrono::milliseconds;

static milliseconds medianOf(std::vector<milliseconds> times)
{
    if (times.empty())
        return milliseconds(0);
    std::vector<milliseconds>::iterator middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

std::vector<LinkMonitor::Sample> LinkMonitor::recentSamples(TimePoint now) const
{
    std::vector<Sample> samples;
    for (const auto& [address, sample] : m_samples) {
        if (now - sample.endedAt <= window)
            samples.push_back(sample);
    }
    if (samples.size() < minAddresses)
        samples.clear();
    return samples;
}

void LinkMonitor::record(const Attempt& attempt)
{
    TimePoint now = attempt.endedAt;
    bool wasFull = isFull(now);
    std::erase_if(m_samples, [now](const auto& entry) { return now - entry.second.endedAt > window; });
    m_samples.insert_or_assign(attempt.address, Sample { attempt.outcome, now, attempt.elapsed() });
    std::vector<milliseconds> all;
    std::vector<milliseconds> answered;
    for (const Sample& sample : recentSamples(now)) {
        all.push_back(sample.elapsed);
        if (sample.outcome != Attempt::Outcome::TimedOut)
            answered.push_back(sample.elapsed);
    }
    // Attempts that time out everywhere do not tell a full link from a partition. They do not end what slow answers have shown.
    bool areAnswersSlow = answered.empty() ? wasFull : medianOf(std::move(answered)) >= m_fullLinkDelay;
    m_isFull = areAnswersSlow && medianOf(std::move(all)) >= m_fullLinkDelay;
    if (m_isFull && now - m_reducedAt >= reductionInterval) {
        m_admittedShare = std::max(minAdmittedShare, reduction * admittedShare(now));
        m_reducedAt = now;
    }
    if (m_isFull && !wasFull)
        startRest(now);
}

double LinkMonitor::admittedShare(TimePoint now) const
{
    double seconds = std::chrono::duration<double>(now - m_reducedAt).count();
    return std::min(1.0, m_admittedShare + admissionRise * seconds);
}

void LinkMonitor::startRest(TimePoint now)
{
    if (needsRest(now))
        return;
    bool isRepeated = now - m_restsUntil < maxRest;
    m_rest = isRepeated ? std::min(2 * m_rest, maxRest) : minRest;
    m_restsUntil = now + m_rest;
}

milliseconds LinkMonitor::slowestAnswer(TimePoint now) const
{
    milliseconds slowest(0);
    for (const auto& [address, sample] : m_samples) {
        if (now - sample.endedAt <= window && sample.outcome != Attempt::Outcome::TimedOut)
            slowest = std::max(slowest, sample.elapsed);
    }
    return slowest;
}

milliseconds LinkMonitor::delay(TimePoint now) const
{
    bool isLinkFull = isFull(now);
    std::vector<milliseconds> times;
    // Attempts that time out say nothing about the link unless it is full, and then not how long an answer would have taken.
    for (const Sample& sample : recentSamples(now)) {
        if (isLinkFull || sample.outcome != Attempt::Outcome::TimedOut)
            times.push_back(sample.elapsed);
    }
    milliseconds median = medianOf(std::move(times));
    return isLinkFull ? std::max(median, slowestAnswer(now)) : median;
}

bool LinkMonitor::needsTest(TimePoint now) const
{
    return isFull(now) || now - m_reducedAt < window;
}

bool LinkMonitor::isFull(TimePoint now) const
{
    return m_isFull && !recentSamples(now).empty();
}

}
