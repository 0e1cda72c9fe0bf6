#include "LibMembership/GossipExchange.h"

#include <algorithm>

namespace Membership {

using Core::SteadyClock;

GossipExchange::GossipExchange(View& view, GossipLimits limits)
    : m_view(view)
    , m_limits(limits)
{
}

GossipMessage GossipExchange::compose(const std::string& peer, std::optional<ConfirmedIntent> confirmed, SteadyClock::time_point)
{
    PeerKnowledge& knowledge = m_peers[peer];
    GossipMessage message;
    message.confirmed = confirmed;
    addRecords(knowledge, message);
    addChanges(knowledge, message);
    dropKnownFromWanted();
    for (const auto& [host, incarnation] : m_wanted) {
        if (message.wanted.size() < m_limits.wanted)
            message.wanted.push_back(host);
    }
    return message;
}

void GossipExchange::dropKnownFromWanted()
{
    std::erase_if(m_wanted, [&](const std::pair<const HostNumber, uint64_t>& wanted) {
        std::optional<GossipEntry> entry = m_view.entry(wanted.first);
        return entry && entry->incarnation >= wanted.second;
    });
}

void GossipExchange::addRecords(PeerKnowledge& knowledge, GossipMessage& message)
{
    while (!knowledge.asked.empty() && message.records.size() < m_limits.records) {
        HostNumber host = *knowledge.asked.begin();
        knowledge.asked.erase(knowledge.asked.begin());
        std::optional<GossipRecord> record = m_view.record(host);
        if (!record)
            continue;
        knowledge.entries[host] = *m_view.entry(host);
        message.records.push_back(std::move(*record));
    }
}

void GossipExchange::addChanges(PeerKnowledge& knowledge, GossipMessage& message)
{
    while (!knowledge.outdated.empty() && offer(knowledge, *knowledge.outdated.begin(), message))
        knowledge.outdated.erase(knowledge.outdated.begin());
    const std::map<uint64_t, HostNumber>& changes = m_view.changes();
    std::map<uint64_t, HostNumber>::const_iterator it = changes.upper_bound(knowledge.offeredUpTo);
    for (; it != changes.end() && offer(knowledge, it->second, message); ++it)
        knowledge.offeredUpTo = it->first;
}

static GenerationGroup& groupOf(GossipMessage& message, uint64_t generation)
{
    for (GenerationGroup& group : message.generations) {
        if (group.generation == generation)
            return group;
    }
    return message.generations.emplace_back(GenerationGroup { generation, {} });
}

// Adds what the peer lacks of a host to the message; false if the message is full.
bool GossipExchange::offer(PeerKnowledge& knowledge, HostNumber host, GossipMessage& message)
{
    GossipEntry entry = *m_view.entry(host);
    std::map<HostNumber, GossipEntry>::iterator known = knowledge.entries.find(host);
    if (known == knowledge.entries.end()) {
        if (message.entries.size() >= m_limits.entries)
            return false;
        message.entries.push_back(entry);
        knowledge.entries.emplace(host, entry);
        return true;
    }
    if (known->second == entry)
        return true;
    GossipEntry sameButGeneration = known->second;
    sameButGeneration.generation = entry.generation;
    if (sameButGeneration == entry) {
        size_t grouped = 0;
        for (const GenerationGroup& group : message.generations)
            grouped += group.hosts.size();
        if (grouped >= m_limits.generationHosts)
            return false;
        groupOf(message, entry.generation).hosts.push_back(host);
    } else {
        if (message.entries.size() >= m_limits.entries)
            return false;
        message.entries.push_back(entry);
    }
    known->second = entry;
    return true;
}

void GossipExchange::receive(const std::string& peer, const GossipMessage& message, SteadyClock::time_point now)
{
    PeerKnowledge& knowledge = m_peers[peer];
    m_view.heardDirectly(peer, now);
    for (const GossipRecord& record : message.records) {
        HostNumber host = hostNumberOf(record.member.host);
        m_view.merge(record, now);
        mergeEntry(knowledge, { host, record.member.incarnation, record.heartbeat, record.member.state, record.member.generation }, now);
    }
    for (const GossipEntry& entry : message.entries)
        mergeEntry(knowledge, entry, now);
    for (const GenerationGroup& group : message.generations) {
        for (HostNumber host : group.hosts) {
            std::map<HostNumber, GossipEntry>::const_iterator known = knowledge.entries.find(host);
            if (known == knowledge.entries.end())
                continue;
            GossipEntry entry = known->second;
            entry.generation = group.generation;
            mergeEntry(knowledge, entry, now);
        }
    }
    knowledge.asked.insert(message.wanted.begin(), message.wanted.end());
}

void GossipExchange::mergeEntry(PeerKnowledge& knowledge, const GossipEntry& entry, SteadyClock::time_point now)
{
    knowledge.entries[entry.host] = entry;
    if (!m_view.merge(entry, now))
        m_wanted[entry.host] = std::max(m_wanted[entry.host], entry.incarnation);
    std::optional<GossipEntry> merged = m_view.entry(entry.host);
    if (merged && *merged != entry)
        knowledge.outdated.insert(entry.host);
}

void GossipExchange::tick(SteadyClock::time_point now)
{
    if (!m_nextHeartbeat) {
        // Daemons that start together raise their heartbeats at different times.
        std::chrono::milliseconds phase(hostNumberOf(m_view.self().host) % m_limits.heartbeatPeriod.count());
        m_nextHeartbeat = Core::Deadline(now + phase);
    }
    if (m_nextHeartbeat->at() <= now) {
        m_view.beat();
        m_nextHeartbeat = Core::Deadline(now + m_limits.heartbeatPeriod);
    }
    m_view.expire(now);
}

void GossipExchange::forget(const std::string& peer)
{
    m_peers.erase(peer);
}

}
