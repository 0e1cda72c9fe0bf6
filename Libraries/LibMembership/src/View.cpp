#include "LibMembership/View.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Membership {

using Core::SteadyClock;

HostHash hostHash(std::string_view host)
{
    return static_cast<HostHash>(Core::hash64(host));
}

// Determines which state wins between entries with the same incarnation and heartbeat.
static int statePrecedence(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Draining:
        return 1;
    case MemberState::Suspect:
        return 2;
    case MemberState::Left:
        return 3;
    }
    return 0;
}

View::View(Member self, ViewLimits limits, ViewHooks hooks)
    : m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_selfHash(hostHash(self.host))
{
    markChanged(m_members.emplace(m_selfHash, MemberEntry { std::move(self) }).first->second);
}

void View::markChanged(MemberEntry& known)
{
    m_changes.erase(known.changedAt);
    known.changedAt = ++m_lastChangeNumber;
    m_changes.emplace(known.changedAt, hostHash(known.member.host));
}

std::vector<Member> View::members() const
{
    std::vector<Member> members;
    for (const auto& [hash, known] : m_members)
        members.push_back(known.member);
    return members;
}

std::vector<Member> View::aliveMembers() const
{
    std::vector<Member> alive;
    for (const auto& [hash, known] : m_members) {
        if (known.member.state == MemberState::Alive)
            alive.push_back(known.member);
    }
    return alive;
}

std::optional<Member> View::find(const std::string& host) const
{
    std::map<HostHash, MemberEntry>::const_iterator it = m_members.find(hostHash(host));
    if (it == m_members.end() || it->second.member.host != host)
        return std::nullopt;
    return it->second.member;
}

std::optional<GossipRecord> View::record(HostHash host) const
{
    std::map<HostHash, MemberEntry>::const_iterator it = m_members.find(host);
    if (it == m_members.end())
        return std::nullopt;
    return GossipRecord { it->second.member, it->second.heartbeat };
}

std::optional<GossipEntry> View::entry(HostHash host) const
{
    std::map<HostHash, MemberEntry>::const_iterator it = m_members.find(host);
    if (it == m_members.end())
        return std::nullopt;
    const MemberEntry& known = it->second;
    return GossipEntry { host, known.member.incarnation, known.heartbeat, known.member.state, known.member.generation };
}

std::vector<GossipEntry> View::entries() const
{
    std::vector<GossipEntry> entries;
    entries.reserve(m_members.size());
    for (const auto& [hash, known] : m_members)
        entries.push_back({ hash, known.member.incarnation, known.heartbeat, known.member.state, known.member.generation });
    return entries;
}

Core::Deadline View::suspicionDeadline(const MemberEntry& known, SteadyClock::time_point now) const
{
    return Core::Deadline(now + (known.isLinked ? m_limits.linkedSuspicion : m_limits.unlinkedSuspicion));
}

void View::merge(const GossipRecord& record, SteadyClock::time_point now)
{
    HostHash hash = hostHash(record.member.host);
    if (hash == m_selfHash)
        return mergeSelf({ hash, record.member.incarnation, record.heartbeat, record.member.state, record.member.generation });
    std::map<HostHash, MemberEntry>::iterator it = m_members.find(hash);
    if (it == m_members.end()) {
        MemberEntry& added = m_members.emplace(hash, MemberEntry { record.member, record.heartbeat }).first->second;
        added.suspectAt = suspicionDeadline(added, now);
        markChanged(added);
        m_hooks.memberChanged(added.member);
        return;
    }
    MemberEntry& known = it->second;
    if (record.member.host != known.member.host || record.member.incarnation < known.member.incarnation)
        return;
    if (record.member.incarnation == known.member.incarnation) {
        mergeState(known, record.heartbeat, record.member.state, record.member.generation, now);
        return;
    }
    uint64_t older = known.member.incarnation;
    known.member = record.member;
    known.heartbeat = record.heartbeat;
    known.suspectAt = suspicionDeadline(known, now);
    markChanged(known);
    m_hooks.incarnationSuperseded(known.member.host, older, known.member.incarnation);
    m_hooks.memberChanged(known.member);
}

bool View::merge(const GossipEntry& entry, SteadyClock::time_point now)
{
    if (entry.host == m_selfHash) {
        mergeSelf(entry);
        return true;
    }
    std::map<HostHash, MemberEntry>::iterator it = m_members.find(entry.host);
    if (it == m_members.end() || entry.incarnation > it->second.member.incarnation)
        return false;
    if (entry.incarnation == it->second.member.incarnation)
        mergeState(it->second, entry.heartbeat, entry.state, entry.generation, now);
    return true;
}

// Refutes an entry that would override this daemon's own state, such as a suspicion, with a greater heartbeat.
void View::mergeSelf(const GossipEntry& entry)
{
    MemberEntry& self = m_members.at(m_selfHash);
    if (entry.incarnation != self.member.incarnation)
        return;
    bool mustRefute = entry.heartbeat > self.heartbeat || (entry.heartbeat == self.heartbeat && statePrecedence(entry.state) > statePrecedence(self.member.state));
    if (!mustRefute)
        return;
    self.heartbeat = entry.heartbeat + 1;
    markChanged(self);
}

void View::mergeState(MemberEntry& known, uint32_t heartbeat, MemberState state, uint64_t generation, SteadyClock::time_point now)
{
    if (generation > known.member.generation) {
        known.member.generation = generation;
        markChanged(known);
    }
    if (heartbeat < known.heartbeat)
        return;
    if (heartbeat == known.heartbeat && statePrecedence(state) <= statePrecedence(known.member.state))
        return;
    // A suspect member that refutes the suspicion gets the full suspicion timeout again.
    bool isRefuted = known.member.state == MemberState::Suspect && state != MemberState::Suspect;
    if (isRefuted || (heartbeat > known.heartbeat && !known.isLinked))
        known.suspectAt = suspicionDeadline(known, now);
    bool hasNewState = known.member.state != state;
    known.heartbeat = heartbeat;
    known.member.state = state;
    markChanged(known);
    if (hasNewState)
        m_hooks.memberChanged(known.member);
}

void View::recordDirectContact(const std::string& host, SteadyClock::time_point now)
{
    std::map<HostHash, MemberEntry>::iterator it = m_members.find(hostHash(host));
    if (it != m_members.end() && it->first != m_selfHash)
        it->second.suspectAt = suspicionDeadline(it->second, now);
}

void View::setLinked(const std::set<std::string>& hosts, SteadyClock::time_point now)
{
    for (auto& [hash, known] : m_members) {
        bool isLinked = hosts.contains(known.member.host);
        if (hash == m_selfHash || known.isLinked == isLinked)
            continue;
        known.isLinked = isLinked;
        known.suspectAt = suspicionDeadline(known, now);
    }
}

void View::suspectExpiredMembers(SteadyClock::time_point now)
{
    for (auto& [hash, known] : m_members) {
        bool canExpire = known.member.state == MemberState::Alive || known.member.state == MemberState::Draining;
        if (hash == m_selfHash || !canExpire || known.suspectAt.at() > now)
            continue;
        known.member.state = MemberState::Suspect;
        markChanged(known);
        m_hooks.memberChanged(known.member);
    }
}

void View::incrementHeartbeat()
{
    MemberEntry& self = m_members.at(m_selfHash);
    ++self.heartbeat;
    markChanged(self);
}

void View::setOwnAddresses(Core::Address peer, Core::Address caller)
{
    MemberEntry& self = m_members.at(m_selfHash);
    self.member.peerAddress = std::move(peer);
    self.member.callerAddress = std::move(caller);
    markChanged(self);
}

void View::setOwnState(MemberState state)
{
    MemberEntry& self = m_members.at(m_selfHash);
    if (self.member.state == state)
        return;
    self.member.state = state;
    ++self.heartbeat;
    markChanged(self);
    m_hooks.memberChanged(self.member);
}

void View::setOwnGeneration(uint64_t generation)
{
    MemberEntry& self = m_members.at(m_selfHash);
    if (generation <= self.member.generation)
        return;
    self.member.generation = generation;
    markChanged(self);
}

}
