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
    PeerState& state = m_peers[peer];
    GossipMessage message;
    message.confirmed = confirmed;
    addRecords(state, message);
    addChanges(state, message);
    removeReceivedRecords();
    for (const auto& [host, incarnation] : m_missingRecords) {
        if (message.requestedRecords.size() < m_limits.maxRequestedRecords)
            message.requestedRecords.push_back(host);
    }
    return message;
}

void GossipExchange::removeReceivedRecords()
{
    std::erase_if(m_missingRecords, [&](const std::pair<const HostHash, uint64_t>& missing) {
        std::optional<GossipEntry> entry = m_view.entry(missing.first);
        return entry && entry->incarnation >= missing.second;
    });
}

void GossipExchange::addRecords(PeerState& state, GossipMessage& message)
{
    while (!state.requestedRecords.empty() && message.records.size() < m_limits.maxRecords) {
        HostHash host = *state.requestedRecords.begin();
        state.requestedRecords.erase(state.requestedRecords.begin());
        std::optional<GossipRecord> record = m_view.record(host);
        if (!record)
            continue;
        state.knownEntries[host] = *m_view.entry(host);
        message.records.push_back(std::move(*record));
    }
}

void GossipExchange::addChanges(PeerState& state, GossipMessage& message)
{
    while (!state.outdatedHosts.empty() && addEntry(state, *state.outdatedHosts.begin(), message))
        state.outdatedHosts.erase(state.outdatedHosts.begin());
    const std::map<uint64_t, HostHash>& changes = m_view.changes();
    std::map<uint64_t, HostHash>::const_iterator it = changes.upper_bound(state.lastSentChange);
    for (; it != changes.end() && addEntry(state, it->second, message); ++it)
        state.lastSentChange = it->first;
}

static GenerationGroup& findOrAddGroup(GossipMessage& message, uint64_t generation)
{
    for (GenerationGroup& group : message.generations) {
        if (group.generation == generation)
            return group;
    }
    return message.generations.emplace_back(GenerationGroup { generation, {} });
}

// Adds the host's entry, or only its generation, to the message unless the peer has it. Returns false if the message is
// full.
bool GossipExchange::addEntry(PeerState& state, HostHash host, GossipMessage& message)
{
    GossipEntry entry = *m_view.entry(host);
    std::map<HostHash, GossipEntry>::iterator known = state.knownEntries.find(host);
    if (known == state.knownEntries.end()) {
        if (message.entries.size() >= m_limits.maxEntries)
            return false;
        message.entries.push_back(entry);
        state.knownEntries.emplace(host, entry);
        return true;
    }
    if (known->second == entry)
        return true;
    GossipEntry withNewGeneration = known->second;
    withNewGeneration.generation = entry.generation;
    if (withNewGeneration == entry) {
        size_t grouped = 0;
        for (const GenerationGroup& group : message.generations)
            grouped += group.hosts.size();
        if (grouped >= m_limits.maxGenerationHosts)
            return false;
        findOrAddGroup(message, entry.generation).hosts.push_back(host);
    } else {
        if (message.entries.size() >= m_limits.maxEntries)
            return false;
        message.entries.push_back(entry);
    }
    known->second = entry;
    return true;
}

void GossipExchange::receive(const std::string& peer, const GossipMessage& message, SteadyClock::time_point now)
{
    PeerState& state = m_peers[peer];
    m_view.recordDirectContact(peer, now);
    for (const GossipRecord& record : message.records) {
        HostHash host = hostHash(record.member.host);
        m_view.merge(record, now);
        mergeEntry(state, { host, record.member.incarnation, record.heartbeat, record.member.state, record.member.generation }, now);
    }
    for (const GossipEntry& entry : message.entries)
        mergeEntry(state, entry, now);
    for (const GenerationGroup& group : message.generations) {
        for (HostHash host : group.hosts) {
            std::map<HostHash, GossipEntry>::const_iterator known = state.knownEntries.find(host);
            if (known == state.knownEntries.end())
                continue;
            GossipEntry entry = known->second;
            entry.generation = group.generation;
            mergeEntry(state, entry, now);
        }
    }
    state.requestedRecords.insert(message.requestedRecords.begin(), message.requestedRecords.end());
}

void GossipExchange::mergeEntry(PeerState& state, const GossipEntry& entry, SteadyClock::time_point now)
{
    state.knownEntries[entry.host] = entry;
    if (!m_view.merge(entry, now))
        m_missingRecords[entry.host] = std::max(m_missingRecords[entry.host], entry.incarnation);
    std::optional<GossipEntry> merged = m_view.entry(entry.host);
    if (merged && *merged != entry)
        state.outdatedHosts.insert(entry.host);
}

void GossipExchange::tick(SteadyClock::time_point now)
{
    if (!m_nextHeartbeatAt) {
        // The phase depends on the host, so that daemons started together spread out their heartbeats.
        std::chrono::milliseconds phase(hostHash(m_view.self().host) % m_limits.heartbeatPeriod.count());
        m_nextHeartbeatAt = Core::Deadline(now + phase);
    }
    if (m_nextHeartbeatAt->at() <= now) {
        m_view.incrementHeartbeat();
        m_nextHeartbeatAt = Core::Deadline(now + m_limits.heartbeatPeriod);
    }
    m_view.suspectExpiredMembers(now);
}

void GossipExchange::resetPeer(const std::string& peer)
{
    m_peers.erase(peer);
}

}
