#include "LibRelay/HostLoad.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Relay {

using std::chrono::milliseconds;

// Time constants of rates, and of the ratios between them: answers follow their requests by up to some seconds.
static constexpr double rateSeconds = 1.0;
static constexpr double answerRateSeconds = 3.0;
static constexpr double ratioSeconds = 10.0;
// Decaying number of admitted requests below which the ratios say too little.
static constexpr double minRatioRequests = 10;
// Part of a link's direction that is used. The rest drains its queue, and covers packet headers.
static constexpr double targetUtilisation = 0.9;
// Refusals begin if a direction is used above the first value, and end when all requests are expected to fit. They also end if the
// direction stays below the second value, which shows a wrong expectation; a shorter time would let delayed answers swing the admission.
static constexpr double busyUtilisation = 0.85;
static constexpr double calmUtilisation = 0.7;
static constexpr double calmSeconds = 10;
// An inbound queue cannot be seen or drained from here, so little is left free.
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
// Change of the overload factor at each sample.
static constexpr double processorDecrease = 0.95;
// Connects that time out show a queue of at least their timeout.
static constexpr double connectsDecrease = 0.85;
static constexpr double overloadFactorIncrease = 0.02;
static constexpr double minOverloadFactor = 0.2;

// Connects and responses count for this long.
static constexpr milliseconds contactWindow(1'000);
// Timeouts in a single failure domain are the own link's only if nothing was reached for this long.
static constexpr milliseconds longContactWindow(5'000);
// The own link is the cause if connects to this many endpoints, and to at least half of those that were called, timed out.
static constexpr size_t minTimedOutEndpoints = 3;
static constexpr size_t minTimedOutDomains = 2;

// A host is overloaded if it admits less than the first, until it admits more than the second.
static constexpr double overloadFraction = 0.9;
static constexpr double calmFraction = 0.97;
// An overload lasts at least this long, and up to the stagger longer, before the host reports not ready.
static constexpr milliseconds minOverload(2'000);
static constexpr milliseconds overloadStagger(1'500);
// The hosts of a failure domain take turns: time is divided into slices, and a host is out of rotation only within its own ones.
static constexpr milliseconds rotationSlice(6'000);
static constexpr size_t minRotationSlots = 3;
// The end of a slice in which no host is out, so that clocks may differ by this.
static constexpr milliseconds rotationMargin(1'000);
// A host does not leave for less.
static constexpr milliseconds minNotReadyTime(3'000);
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

void HostLoad::advance(Flow& flow, double seconds) const
{
    double rateWeight = 1 - std::exp(-seconds / rateSeconds);
    flow.perSecond += (flow.pending / seconds - flow.perSecond) * rateWeight;
    // Until it has run for its time constant, the slow rate is the mean since the start.
    double slowWeight = 1 - std::exp(-seconds / std::min(answerRateSeconds, std::max(seconds, m_observedSeconds)));
    flow.slowPerSecond += (flow.pending / seconds - flow.slowPerSecond) * slowWeight;
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
    m_storeReceived.pending = static_cast<double>(sample.storeBytesReceived - last.storeBytesReceived);
    m_storeSent.pending = static_cast<double>(sample.storeBytesSent - last.storeBytesSent);
    m_observedSeconds += seconds;
    updateQueue(m_callerSent.pending + m_endpointSent.pending + m_storeSent.pending, seconds);
    for (Flow* flow : { &m_callerReceived, &m_callerSent, &m_endpointReceived, &m_endpointSent, &m_storeReceived, &m_storeSent, &m_offered, &m_admitted, &m_arrivals, &m_refusals })
        advance(*flow, seconds);
    for (Flow& flow : m_offeredByPriority)
        advance(flow, seconds);
    if (m_maxConnections > 0)
        m_descriptorUtilisation = static_cast<double>(descriptorsPerRequest * sample.activeRequests + sample.readingConnections) / static_cast<double>(m_maxConnections);
    updateOverloadFactor(sample, std::chrono::duration<double>(sample.processorTime - last.processorTime).count(), seconds, now);
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

double HostLoad::outboundTarget() const
{
    double excessQueue = std::max(0.0, utilisation(m_queuedBytes) - toleratedQueueSeconds);
    double target = m_capacity.linkBytesPerSecond * std::max(minDrainUtilisation, targetUtilisation - excessQueue / drainSeconds);
    return std::max(0.0, target - m_storeSent.perSecond);
}

double HostLoad::inboundTarget() const
{
    return std::max(0.0, m_capacity.linkBytesPerSecond * targetUtilisationIn - m_storeReceived.perSecond);
}

void HostLoad::updateBusy(Direction& direction, double utilisation, bool hasQueue, double demand, double target) const
{
    if (utilisation >= calmUtilisation)
        direction.usedAt = m_observedSeconds;
    if (hasQueue || utilisation > busyUtilisation)
        direction.isBusy = true;
    else if (demand <= target || m_observedSeconds - direction.usedAt > calmSeconds)
        direction.isBusy = false;
}

// An admitted request is forwarded and answered; a refused one is sent the refusal.
double HostLoad::outboundFraction()
{
    if (m_capacity.linkBytesPerSecond <= 0 || m_offered.perSecond <= 0 || m_admitted.sum <= 0)
        return 1;
    double target = outboundTarget();
    double demand = outboundDemand();
    updateBusy(m_outbound, linkUtilisationOut(), utilisation(m_queuedBytes) > toleratedQueueSeconds, demand, target);
    if (!m_outbound.isBusy || demand <= target)
        return 1;
    double refusals = refusalBytes * m_arrivals.perSecond;
    double fraction = demand > refusals ? (target - refusals) / (demand - refusals) : target / demand;
    // Answers in progress go first: they may take more than the expectation, since they follow their requests.
    double left = m_capacity.linkBytesPerSecond - m_callerSent.perSecond - m_storeSent.perSecond;
    return std::min(fraction, left / forwardedPerSecond());
}

bool HostLoad::knowsRatios() const
{
    return m_admitted.sum > 0 && m_endpointSent.sum > 0 && m_arrivals.sum - m_refusals.sum >= minRatioRequests;
}

double HostLoad::forwardedPerSecond() const
{
    return m_offered.perSecond * (knowsRatios() ? std::max(1.0, m_endpointSent.sum / m_admitted.sum) : 1);
}

// Admitted requests that could not be sent have no answers.
double HostLoad::forwardedRequests() const
{
    return (m_arrivals.sum - m_refusals.sum) * std::min(1.0, m_endpointSent.sum / m_admitted.sum);
}

double HostLoad::answerBytesSent() const
{
    return knowsRatios() ? std::max(0.0, m_callerSent.sum - refusalBytes * m_refusals.sum) / forwardedRequests() : 0;
}

double HostLoad::answerBytesReceived() const
{
    return knowsRatios() ? m_endpointReceived.sum / forwardedRequests() : 0;
}

// Refusing a request does not take back its bytes, so the answers get the room that arriving requests leave.
double HostLoad::inboundFraction()
{
    double target = inboundTarget();
    if (m_capacity.linkBytesPerSecond <= 0)
        return 1;
    updateBusy(m_inbound, linkUtilisationIn(), false, inboundDemand(), target);
    if (!m_inbound.isBusy || inboundDemand() <= target)
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

void HostLoad::updateOverloadFactor(const HostSample& sample, double processorSeconds, double seconds, TimePoint now)
{
    double rateWeight = 1 - std::exp(-seconds / rateSeconds);
    double utilisation = m_capacity.processorShare > 0 ? processorSeconds / (seconds * m_capacity.processorShare) : 0;
    m_processorUtilisation += (utilisation - m_processorUtilisation) * rateWeight;
    double lagMs = std::min(static_cast<double>(sample.timerLag.count()), maxRecordedLagMs);
    m_smoothedLagMs += (lagMs - m_smoothedLagMs) * lagWeight;
    bool isProcessorShort = m_smoothedLagMs > (m_processorUtilisation > fullProcessorUtilisation ? maxLagAtFullProcessorMs : maxLagMs);
    bool isLinkSlow = isOwnLinkSlow(now);
    if (isProcessorShort || isLinkSlow) {
        m_overloadFactor = std::max(minOverloadFactor, m_overloadFactor * (isLinkSlow ? connectsDecrease : processorDecrease));
        m_overloadCause = isLinkSlow ? Cause::Connects : Cause::Processor;
    } else {
        m_overloadFactor = std::min(1.0, m_overloadFactor + overloadFactorIncrease);
    }
    std::erase_if(m_contacts, [now](const auto& entry) {
        auto isOver = [now](const std::optional<TimePoint>& at) { return !at || now - *at > longContactWindow; };
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
    bound(m_overloadFactor, m_overloadCause);
    double linkFraction = m_inbound.isBusy && inboundDemand() > inboundTarget() ? inboundTarget() / inboundDemand() : 1;
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

bool HostLoad::recordConnectTimeout(const std::string& endpoint, const std::string& failureDomain, TimePoint now)
{
    Contact& contact = m_contacts[endpoint];
    contact.failureDomain = failureDomain;
    contact.timedOutAt = now;
    bool isOwn = isOwnLinkSlow(now);
    m_ownConnectTimeouts += isOwn ? 1 : 0;
    return isOwn;
}

void HostLoad::recordReached(const std::string& endpoint, const std::string& failureDomain, TimePoint now)
{
    Contact& contact = m_contacts[endpoint];
    contact.failureDomain = failureDomain;
    contact.reachedAt = now;
    m_reachedAt = now;
}

bool HostLoad::isOwnLinkSlow(TimePoint now) const
{
    auto isRecent = [now](const std::optional<TimePoint>& at) { return at && now - *at <= contactWindow; };
    size_t timedOut = 0;
    size_t called = 0;
    std::set<std::string_view> domains;
    for (const auto& [id, contact] : m_contacts) {
        bool hasTimedOut = isRecent(contact.timedOutAt);
        timedOut += hasTimedOut ? 1 : 0;
        called += hasTimedOut || isRecent(contact.reachedAt) ? 1 : 0;
        if (hasTimedOut)
            domains.insert(contact.failureDomain);
    }
    if (timedOut < minTimedOutEndpoints || 2 * timedOut < called)
        return false;
    return domains.size() >= minTimedOutDomains || (m_reachedAt && now - *m_reachedAt > longContactWindow);
}

milliseconds HostLoad::randomUpTo(milliseconds limit)
{
    return milliseconds(std::uniform_int_distribution<int64_t>(0, limit.count())(m_random));
}

int64_t HostLoad::retryAfterMs()
{
    return std::uniform_int_distribution<int64_t>(minRetryAfterMs, maxRetryAfterMs)(m_random);
}

// The fewest slots with which less than half of the daemons have the same one; 0 if there are none.
static size_t rotationSlots(size_t daemons)
{
    if (daemons < minRotationSlots)
        return 0;
    size_t slots = minRotationSlots;
    while (2 * ((daemons + slots - 1) / slots) >= daemons)
        ++slots;
    return slots;
}

void HostLoad::setRotation(size_t rank, size_t daemons, TimePoint now)
{
    if (rank == m_rotationRank && daemons == m_rotationDaemons)
        return;
    bool isSameSlot = rotationSlots(daemons) > 0 && rotationSlots(daemons) == rotationSlots(m_rotationDaemons)
        && rank % rotationSlots(daemons) == m_rotationRank % rotationSlots(daemons);
    m_rotationRank = rank;
    m_rotationDaemons = daemons;
    if (!isSameSlot)
        m_rotationSettledAt = now + rotationSlice;
}

std::optional<HostLoad::TimePoint> HostLoad::rotationSliceEnd(TimePoint now) const
{
    size_t slots = rotationSlots(m_rotationDaemons);
    if (slots == 0 || now < m_rotationSettledAt)
        return std::nullopt;
    int64_t slice = m_last->wallTime.count() / rotationSlice.count();
    milliseconds left = rotationSlice - milliseconds(m_last->wallTime.count() % rotationSlice.count());
    if (slice % static_cast<int64_t>(slots) != static_cast<int64_t>(m_rotationRank % slots) || left < minNotReadyTime + rotationMargin)
        return std::nullopt;
    return now + left;
}

void HostLoad::updateReadiness(TimePoint now)
{
    if (m_fraction < 1)
        m_limitedAt = now;
    m_isLimiting = m_fraction < calmFraction || (m_isLimiting && now - m_limitedAt < limitingHysteresis);
    if (m_fraction < overloadFraction && !m_overloadedSince) {
        m_overloadedSince = now;
        m_overloadDelay = minOverload + randomUpTo(overloadStagger);
    } else if (m_fraction > calmFraction) {
        m_overloadedSince.reset();
    }
    std::optional<TimePoint> sliceEnd = rotationSliceEnd(now);
    if (!m_isReady && now >= m_notReadyUntil) {
        m_isReady = true;
    } else if (m_isReady && m_overloadedSince && now - *m_overloadedSince >= m_overloadDelay && sliceEnd) {
        m_isReady = false;
        m_notReadySince = now;
        m_notReadyUntil = *sliceEnd - rotationMargin;
        m_connectionsToShed = (1 - m_carriedFraction) * static_cast<double>(m_last->callerConnections);
    }
    m_isShedding = !m_isReady && m_connectionsToShed >= 1 && now - m_notReadySince >= balancerDelay;
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
