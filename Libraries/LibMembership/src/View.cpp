#include "LibMembership/View.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Membership {

using Core::SteadyClock;

HostNumber hostNumberOf(std::string_view host)
{
    return static_cast<HostNumber>(Core::hash64(host));
}

// Rank of states with the same incarnation and heartbeat.
static int rankOf(MemberState state)
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
    , m_self(hostNumberOf(self.host))
{
    markChanged(m_known.emplace(m_self, Known { std::move(self) }).first->second);
}

void View::markChanged(Known& known)
{
    m_changes.erase(known.changedAt);
    known.changedAt = ++m_lastChange;
    m_changes.emplace(known.changedAt, hostNumberOf(known.member.host));
}

std::vector<Member> View::members() const
{
    std::vector<Member> members;
    for (const auto& [number, known] : m_known)
        members.push_back(known.member);
    return members;
}

std::vector<Member> View::aliveMembers() const
{
    std::vector<Member> alive;
    for (const auto& [number, known] : m_known) {
        if (known.member.state == MemberState::Alive)
            alive.push_back(known.member);
    }
    return alive;
}

std::optional<Member> View::find(const std::string& host) const
{
    std::map<HostNumber, Known>::const_iterator it = m_known.find(hostNumberOf(host));
    if (it == m_known.end() || it->second.member.host != host)
        return std::nullopt;
    return it->second.member;
}

std::optional<GossipRecord> View::record(HostNumber host) const
{
    std::map<HostNumber, Known>::const_iterator it = m_known.find(host);
    if (it == m_known.end())
        return std::nullopt;
    return GossipRecord { it->second.member, it->second.heartbeat };
}

std::optional<GossipEntry> View::entry(HostNumber host) const
{
    std::map<HostNumber, Known>::const_iterator it = m_known.find(host);
    if (it == m_known.end())
        return std::nullopt;
    const Known& known = it->second;
    return GossipEntry { host, known.member.incarnation, known.heartbeat, known.member.state, known.member.generation };
}

std::vector<GossipEntry> View::entries() const
{
    std::vector<GossipEntry> entries;
    entries.reserve(m_known.size());
    for (const auto& [number, known] : m_known)
        entries.push_back({ number, known.member.incarnation, known.heartbeat, known.member.state, known.member.generation });
    return entries;
}

Core::Deadline View::suspicionDeadline(const Known& known, SteadyClock::time_point now) const
{
    return Core::Deadline(now + (known.isLinked ? m_limits.linkedSuspicion : m_limits.unlinkedSuspicion));
}

void View::merge(const GossipRecord& record, SteadyClock::time_point now)
{
    HostNumber number = hostNumberOf(record.member.host);
    if (number == m_self)
        return mergeSelf({ number, record.member.incarnation, record.heartbeat, record.member.state, record.member.generation });
    std::map<HostNumber, Known>::iterator it = m_known.find(number);
    if (it == m_known.end()) {
        Known& added = m_known.emplace(number, Known { record.member, record.heartbeat }).first->second;
        added.suspectAt = suspicionDeadline(added, now);
        markChanged(added);
        m_hooks.memberChanged(added.member);
        return;
    }
    Known& known = it->second;
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
    if (entry.host == m_self) {
        mergeSelf(entry);
        return true;
    }
    std::map<HostNumber, Known>::iterator it = m_known.find(entry.host);
    if (it == m_known.end() || entry.incarnation > it->second.member.incarnation)
        return false;
    if (entry.incarnation == it->second.member.incarnation)
        mergeState(it->second, entry.heartbeat, entry.state, entry.generation, now);
    return true;
}

// Refutes a suspicion of this daemon by a heartbeat above the suspected one.
void View::mergeSelf(const GossipEntry& entry)
{
    Known& self = m_known.at(m_self);
    if (entry.incarnation != self.member.incarnation)
        return;
    bool isWrong = entry.heartbeat > self.heartbeat || (entry.heartbeat == self.heartbeat && rankOf(entry.state) > rankOf(self.member.state));
    if (!isWrong)
        return;
    self.heartbeat = entry.heartbeat + 1;
    markChanged(self);
}

void View::mergeState(Known& known, uint32_t heartbeat, MemberState state, uint64_t generation, SteadyClock::time_point now)
{
    if (generation > known.member.generation) {
        known.member.generation = generation;
        markChanged(known);
    }
    if (heartbeat < known.heartbeat)
        return;
    if (heartbeat == known.heartbeat && rankOf(state) <= rankOf(known.member.state))
        return;
    // A member that was suspected for silence gets the full time again once it refutes.
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

void View::heardDirectly(const std::string& host, SteadyClock::time_point now)
{
    std::map<HostNumber, Known>::iterator it = m_known.find(hostNumberOf(host));
    if (it != m_known.end() && it->first != m_self)
        it->second.suspectAt = suspicionDeadline(it->second, now);
}

void View::setLinked(const std::set<std::string>& hosts, SteadyClock::time_point now)
{
    for (auto& [number, known] : m_known) {
        bool isLinked = hosts.contains(known.member.host);
        if (number == m_self || known.isLinked == isLinked)
            continue;
        known.isLinked = isLinked;
        known.suspectAt = suspicionDeadline(known, now);
    }
}

void View::expire(SteadyClock::time_point now)
{
    for (auto& [number, known] : m_known) {
        bool canExpire = known.member.state == MemberState::Alive || known.member.state == MemberState::Draining;
        if (number == m_self || !canExpire || known.suspectAt.at() > now)
            continue;
        known.member.state = MemberState::Suspect;
        markChanged(known);
        m_hooks.memberChanged(known.member);
    }
}

void View::beat()
{
    Known& self = m_known.at(m_self);
    ++self.heartbeat;
    markChanged(self);
}

void View::setOwnAddresses(Core::Address peer, Core::Address caller)
{
    Known& self = m_known.at(m_self);
    self.member.peerAddress = std::move(peer);
    self.member.callerAddress = std::move(caller);
    markChanged(self);
}

void View::setOwnState(MemberState state)
{
    Known& self = m_known.at(m_self);
    if (self.member.state == state)
        return;
    self.member.state = state;
    ++self.heartbeat;
    markChanged(self);
    m_hooks.memberChanged(self.member);
}

void View::setOwnGeneration(uint64_t generation)
{
    Known& self = m_known.at(m_self);
    if (generation <= self.member.generation)
        return;
    self.member.generation = generation;
    markChanged(self);
}

}
