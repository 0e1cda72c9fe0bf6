#include "LibRelay/HostLoad.h"

#include <algorithm>
#include <cmath>

namespace Relay {

using std::chrono::milliseconds;

// Time constants of rates, and of the ratios between them: answers follow their requests by up to some seconds.
static constexpr double rateSeconds = 1.0;
static constexpr double ratioSeconds = 10.0;
// Decaying number of admitted requests below which the ratios say too little.
static constexpr double minRatioRequests = 10;
// Part of a link's direction that is used. The rest drains its queue, and covers packet headers.
static constexpr double targetUtilisation = 0.9;
// What waits on the way in cannot be seen or drained from here, so little is left free.
static constexpr double targetUtilisationIn = 0.97;
// If arriving requests fill the link, refusing more of them changes little.
static constexpr double minInboundFraction = 0.15;
// A queue that delays less than this, as a short spike causes it, lowers nothing.
static constexpr double toleratedQueueSeconds = 0.15;
// A longer queue is to drain within this time.
static constexpr double drainSeconds = 0.5;
static constexpr double minDrainUtilisation = 0.2;
static constexpr double maxQueueSeconds = 1.0;
// Bytes of a refusal with its head.
static constexpr double refusalBytes = 400;
// Some requests are always admitted, which show when there is room again.
static constexpr double minFraction = 0.05;
// Each priority is admitted at least this often, as a part of the fraction over all priorities, so that none starves.
static constexpr double minPriorityShare = 0.25;

// Descriptors that are kept for files, peers, the store, the operators' addresses and connections that are not yet known of.
static constexpr size_t reservedDescriptors = 600;
// A process with fewer descriptors than this reserves half of them.
static constexpr size_t smallDescriptorLimit = 2 * reservedDescriptors;
// A request has a connection to its caller and one to an endpoint.
static constexpr size_t descriptorsPerRequest = 2;
// Requests are refused, few at first, above this utilisation of the descriptors.
static constexpr double descriptorThreshold = 0.85;

// Too much is admitted if the timers fire this late, or less late while the processor's share is used up. Timers of a host whose
// share is cut into periods of 100 ms fire late as soon as the share is used up.
static constexpr double maxLagMs = 150;
static constexpr double maxLagAtFullProcessorMs = 50;
static constexpr double fullProcessorUtilisation = 0.9;
// A single late timer is a pause that is over; it must not raise the smoothed lag above its limits.
static constexpr double lagWeight = 0.2;
static constexpr double maxRecordedLagMs = 400;
// Change of the strain fraction at each sample.
static constexpr double processorDecrease = 0.95;
// Connects that time out show a queue of at least their timeout.
static constexpr double connectsDecrease = 0.85;
static constexpr double strainIncrease = 0.02;
static constexpr double minStrainFraction = 0.2;

// Connects and responses count for this long.
static constexpr milliseconds contactWindow(1'000);
// The own link is the cause if connects to this many endpoints, and to at least half of those that were called, timed out.
static constexpr size_t minTimedOutEndpoints = 3;

// A host is overloaded if it admits less than the first, until it admits more than the second.
static constexpr double overloadFraction = 0.9;
static constexpr double calmFraction = 0.97;
// An overload lasts at least this long, and up to the stagger longer, before the host reports not ready.
static constexpr milliseconds minOverload(2'000);
static constexpr milliseconds overloadStagger(1'500);
static constexpr milliseconds notReadyTime(3'000);
static constexpr milliseconds notReadyStagger(2'000);
// A host stays in rotation at least this long before it may leave it again, more than twice as long as it is out of it.
static constexpr milliseconds readyTime(7'000);
static constexpr milliseconds readyStagger(5'000);
// Time until the load balancer has detected that a host is not ready. A connection that is closed earlier comes back.
static constexpr milliseconds balancerDelay(2'200);
// Connections are closed after this part of the responses until enough have been, so the busiest ones are closed first.
static constexpr double sheddingFraction = 0.25;

// Limiting ends for the log once all requests have been admitted for this long.
static constexpr milliseconds limitingHysteresis(2'000);

static constexpr int64_t minRetryAfterMs = 100;
static constexpr int64_t maxRetryAfterMs = 300;

std::string_view nameOf(HostLoad::Cause cause)
{
    switch (cause) {
    case HostLoad::Cause::None:
        return "none";
    case HostLoad::Cause::LinkOut:
        return "link_out";
    case HostLoad::Cause::LinkIn:
        return "link_in";
    case HostLoad::Cause::Connects:
        return "connects";
    case HostLoad::Cause::Processor:
        return "processor";
    case HostLoad::Cause::Descriptors:
        return "descriptors";
    }
    return "none";
}

HostLoad::HostLoad(HostCapacity capacity, uint64_t seed)
    : m_capacity(capacity)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
    m_fractions.fill(1);
    m_credits.fill(0);
    if (m_capacity.descriptors > 0) {
        size_t reserved = m_capacity.descriptors < smallDescriptorLimit ? m_capacity.descriptors / 2 : reservedDescriptors;
        m_maxConnections = std::max<size_t>(1, m_capacity.descriptors - reserved);
        m_maxActiveRequests = std::max<size_t>(1, m_maxConnections / descriptorsPerRequest);
    }
}

void HostLoad::advance(Flow& flow, double seconds)
{
    double rateWeight = 1 - std::exp(-seconds / rateSeconds);
    flow.perSecond += (flow.pending / seconds - flow.perSecond) * rateWeight;
    flow.sum = flow.sum * std::exp(-seconds / ratioSeconds) + flow.pending;
    flow.pending = 0;
}

void HostLoad::record(const HostSample& sample, TimePoint now)
{
    double seconds = m_last ? std::chrono::duration<double>(now - m_lastAt).count() : 0;
    if (m_last && seconds <= 0)
        return;
    HostSample last = m_last.value_or(sample);
    m_last = sample;
    m_lastAt = now;
    m_activeRequests = sample.activeRequests;
    m_admittedSinceSample = 0;
    if (seconds <= 0)
        return;
    m_callerReceived.pending = static_cast<double>(sample.callerBytesReceived - last.callerBytesReceived);
    m_callerSent.pending = static_cast<double>(sample.callerBytesSent - last.callerBytesSent);
    m_endpointReceived.pending = static_cast<double>(sample.endpointBytesReceived - last.endpointBytesReceived);
    m_endpointSent.pending = static_cast<double>(sample.endpointBytesSent - last.endpointBytesSent);
    updateQueue(m_callerSent.pending + m_endpointSent.pending, seconds);
    for (Flow* flow : { &m_callerReceived, &m_callerSent, &m_endpointReceived, &m_endpointSent, &m_offered, &m_admitted, &m_arrivals, &m_refusals })
        advance(*flow, seconds);
    for (Flow& flow : m_offeredByPriority)
        advance(flow, seconds);
    if (m_maxConnections > 0)
        m_descriptorUtilisation = std::max(static_cast<double>(sample.connections) / static_cast<double>(m_maxConnections),
            static_cast<double>(sample.activeRequests) / static_cast<double>(m_maxActiveRequests));
    updateStrain(sample, std::chrono::duration<double>(sample.processorTime - last.processorTime).count(), seconds, now);
    distribute();
    updateReadiness(now);
}

void HostLoad::updateQueue(double sentBytes, double seconds)
{
    double capacity = m_capacity.linkBytesPerSecond;
    m_queuedBytes = std::clamp(m_queuedBytes + sentBytes - capacity * seconds, 0.0, capacity * maxQueueSeconds);
}

milliseconds HostLoad::queueDelay() const
{
    static constexpr double millisecondsPerSecond = 1'000;
    return milliseconds(static_cast<int64_t>(utilisation(m_queuedBytes) * millisecondsPerSecond));
}

// What is sent for each admitted byte is its forwarding and its answer; what is sent for a refused one is the refusal.
double HostLoad::outboundFraction() const
{
    if (m_capacity.linkBytesPerSecond <= 0 || m_offered.perSecond <= 0 || m_admitted.sum <= 0)
        return 1;
    double forwarding = knowsRatios() ? std::max(1.0, m_endpointSent.sum / m_admitted.sum) : 1;
    double answers = knowsRatios() ? std::max(0.0, m_callerSent.sum - refusalBytes * m_refusals.sum) / forwardedSum() : 0;
    double refusals = m_offered.sum > 0 ? refusalBytes * m_arrivals.sum / m_offered.sum : 0;
    double excessQueue = std::max(0.0, utilisation(m_queuedBytes) - toleratedQueueSeconds);
    double target = m_capacity.linkBytesPerSecond * std::max(minDrainUtilisation, targetUtilisation - excessQueue / drainSeconds);
    double perAdmittedByte = forwarding + answers;
    if (m_offered.perSecond * perAdmittedByte <= target)
        return 1;
    double fraction = perAdmittedByte > refusals
        ? (target - m_offered.perSecond * refusals) / (m_offered.perSecond * (perAdmittedByte - refusals))
        : target / (m_offered.perSecond * perAdmittedByte);
    // Answers in progress go first: they may take more than the ratios say, since they follow their requests.
    double left = m_capacity.linkBytesPerSecond - m_callerSent.perSecond;
    return std::min(fraction, left / (m_offered.perSecond * forwarding));
}

bool HostLoad::knowsRatios() const
{
    return m_admitted.sum > 0 && m_endpointSent.sum > 0 && m_arrivals.sum - m_refusals.sum >= minRatioRequests;
}

// Admitted requests that could not be sent have no answers; bytes for the store are none of requests.
double HostLoad::forwardedSum() const
{
    return std::min(m_admitted.sum, m_endpointSent.sum);
}

double HostLoad::answersReceivedPerAdmittedByte() const
{
    return knowsRatios() ? m_endpointReceived.sum / forwardedSum() : 0;
}

double HostLoad::inboundDemand() const
{
    return m_callerReceived.perSecond + m_offered.perSecond * answersReceivedPerAdmittedByte();
}

// Refusing a request does not take back its bytes, so the answers get the room that arriving requests leave.
double HostLoad::inboundFraction() const
{
    double target = m_capacity.linkBytesPerSecond * targetUtilisationIn;
    if (target <= 0 || inboundDemand() <= target)
        return 1;
    double answers = inboundDemand() - m_callerReceived.perSecond;
    if (answers <= 0)
        return target / inboundDemand();
    return std::max(minInboundFraction, (target - m_callerReceived.perSecond) / answers);
}

double HostLoad::descriptorFraction() const
{
    if (m_descriptorUtilisation <= descriptorThreshold)
        return 1;
    return (1 - m_descriptorUtilisation) / (1 - descriptorThreshold);
}

void HostLoad::updateStrain(const HostSample& sample, double processorSeconds, double seconds, TimePoint now)
{
    double rateWeight = 1 - std::exp(-seconds / rateSeconds);
    double utilisation = m_capacity.processorShare > 0 ? processorSeconds / (seconds * m_capacity.processorShare) : 0;
    m_processorUtilisation += (utilisation - m_processorUtilisation) * rateWeight;
    double lagMs = std::min(static_cast<double>(sample.timerLag.count()), maxRecordedLagMs);
    m_smoothedLagMs += (lagMs - m_smoothedLagMs) * lagWeight;
    bool isProcessorShort = m_smoothedLagMs > (m_processorUtilisation > fullProcessorUtilisation ? maxLagAtFullProcessorMs : maxLagMs);
    bool isLinkSlow = isOwnLinkSlow(now);
    if (isProcessorShort || isLinkSlow) {
        m_strainFraction = std::max(minStrainFraction, m_strainFraction * (isLinkSlow ? connectsDecrease : processorDecrease));
        m_strainCause = isLinkSlow ? Cause::Connects : Cause::Processor;
    } else {
        m_strainFraction = std::min(1.0, m_strainFraction + strainIncrease);
    }
    std::erase_if(m_contacts, [now](const auto& entry) {
        auto isOver = [now](const std::optional<TimePoint>& at) { return !at || now - *at > contactWindow; };
        return isOver(entry.second.timedOutAt) && isOver(entry.second.reachedAt);
    });
}

void HostLoad::distribute()
{
    m_fraction = 1;
    m_cause = Cause::None;
    auto bound = [this](double fraction, Cause cause) {
        if (fraction >= m_fraction)
            return;
        m_fraction = std::max(fraction, minFraction);
        m_cause = cause;
    };
    bound(outboundFraction(), Cause::LinkOut);
    bound(inboundFraction(), Cause::LinkIn);
    bound(descriptorFraction(), Cause::Descriptors);
    bound(m_strainFraction, m_strainCause);
    double target = m_capacity.linkBytesPerSecond * targetUtilisationIn;
    double linkFraction = target > 0 && inboundDemand() > target ? target / inboundDemand() : 1;
    m_carriedFraction = m_cause == Cause::LinkIn ? linkFraction : m_fraction;
    double least = m_fraction < 1 ? m_fraction * minPriorityShare : 1;
    double left = (m_fraction - least) * m_offered.perSecond;
    for (size_t i = 0; i < priorityCount; ++i) {
        double wanted = (1 - least) * m_offeredByPriority[i].perSecond;
        double given = std::min(wanted, left);
        left -= given;
        // A priority of which nothing has arrived gets what is left by the more urgent ones.
        m_fractions[i] = wanted > 0 ? least + (1 - least) * given / wanted : (left > 0 ? 1 : least);
    }
}

bool HostLoad::admit(int priority, size_t bytes)
{
    size_t index = static_cast<size_t>(std::clamp(priority, 0, static_cast<int>(priorityCount) - 1));
    double size = static_cast<double>(bytes);
    m_offeredByPriority[index].pending += size;
    m_offered.pending += size;
    m_arrivals.pending += 1;
    double& credit = m_credits[index];
    // Credit does not accumulate beyond one request, so that an earlier calm time does not add to a burst.
    credit = std::min(credit + m_fractions[index], 1.0);
    // The tolerance covers the rounding of sums of fractions.
    static constexpr double fullCredit = 1 - 1e-9;
    bool hasDescriptors = m_maxActiveRequests == 0 || m_activeRequests + m_admittedSinceSample < m_maxActiveRequests;
    if (credit < fullCredit || !hasDescriptors) {
        if (!hasDescriptors)
            m_cause = Cause::Descriptors;
        m_refusals.pending += 1;
        return false;
    }
    credit -= 1;
    ++m_admittedSinceSample;
    m_admitted.pending += size;
    return true;
}

bool HostLoad::recordConnectTimeout(const std::string& endpoint, TimePoint now)
{
    m_contacts[endpoint].timedOutAt = now;
    bool isOwn = isOwnLinkSlow(now);
    m_ownConnectTimeouts += isOwn ? 1 : 0;
    return isOwn;
}

void HostLoad::recordReached(const std::string& endpoint, TimePoint now)
{
    m_contacts[endpoint].reachedAt = now;
}

bool HostLoad::isOwnLinkSlow(TimePoint now) const
{
    auto isRecent = [now](const std::optional<TimePoint>& at) { return at && now - *at <= contactWindow; };
    size_t timedOut = 0;
    size_t called = 0;
    for (const auto& [id, contact] : m_contacts) {
        bool hasTimedOut = isRecent(contact.timedOutAt);
        timedOut += hasTimedOut ? 1 : 0;
        called += hasTimedOut || isRecent(contact.reachedAt) ? 1 : 0;
    }
    return timedOut >= minTimedOutEndpoints && 2 * timedOut >= called;
}

milliseconds HostLoad::randomUpTo(milliseconds limit)
{
    return milliseconds(std::uniform_int_distribution<int64_t>(0, limit.count())(m_random));
}

int64_t HostLoad::retryAfterMs()
{
    return std::uniform_int_distribution<int64_t>(minRetryAfterMs, maxRetryAfterMs)(m_random);
}

void HostLoad::updateReadiness(TimePoint now)
{
    if (m_fraction < 1)
        m_limitedAt = now;
    m_isLimiting = m_fraction < calmFraction || (m_isLimiting && now - m_limitedAt < limitingHysteresis);
    if (m_fraction < overloadFraction && !m_overloadedSince) {
        m_overloadedSince = now;
        m_patience = minOverload + randomUpTo(overloadStagger);
    } else if (m_fraction > calmFraction) {
        m_overloadedSince.reset();
    }
    if (!m_isReady && now >= m_readinessUntil) {
        m_isReady = true;
        m_readinessSince = now;
        m_readinessUntil = now + readyTime + randomUpTo(readyStagger);
    } else if (m_isReady && m_overloadedSince && now - *m_overloadedSince >= m_patience && now >= m_readinessUntil) {
        m_isReady = false;
        m_readinessSince = now;
        m_readinessUntil = now + notReadyTime + randomUpTo(notReadyStagger);
        m_connectionsToShed = (1 - m_carriedFraction) * static_cast<double>(m_last->callerConnections);
    }
    m_isShedding = !m_isReady && m_connectionsToShed >= 1 && now - m_readinessSince >= balancerDelay;
}

bool HostLoad::shedsConnection()
{
    if (!m_isShedding)
        return false;
    m_sheddingCredit += sheddingFraction;
    if (m_sheddingCredit < 1)
        return false;
    m_sheddingCredit -= 1;
    m_connectionsToShed -= 1;
    m_isShedding = m_connectionsToShed >= 1;
    ++m_shedConnections;
    return true;
}

}
