#include "ClientTable.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace HTTP {

// Length of the window in which the speed of a connection is measured while it moves.
static constexpr std::chrono::milliseconds speedWindow(1'000);
// A client that has read nothing of its response for this long is taken not to read it.
static constexpr std::chrono::milliseconds stallTime(1'000);
// When memory is short, this part of the limit is made free at once, so that the connections are not compared for each read.
static constexpr size_t roomDivisor = 16;
// Idle connections that are examined for one that can be closed.
static constexpr int maxExamined = 16;

ClientTable::Client::Client(ClientTable& table, Hooks hooks, TimePoint now)
    : m_table(table)
    , m_hooks(std::move(hooks))
    , m_position(table.m_idle.insert(table.m_idle.end(), this))
    , m_windowStart(now)
    , m_movedAt(now)
{
    ++m_table.m_connections;
}

ClientTable::Client::~Client()
{
    m_table.m_usedBytes -= heldBytes();
    if (!m_isDropped)
        --m_table.m_connections;
    (m_isDropped ? m_table.m_dropped : m_table.listOf(m_phase)).erase(m_position);
}

void ClientTable::Client::setPhase(Phase phase, TimePoint now)
{
    if (m_isDropped)
        return;
    std::list<Client*>& target = m_table.listOf(phase);
    target.splice(target.end(), m_table.listOf(m_phase), m_position);
    m_phase = phase;
    m_movedBytes = 0;
    m_windowStart = now;
    m_movedAt = now;
}

void ClientTable::Client::moved(size_t bytes, TimePoint now)
{
    if (now - m_windowStart >= speedWindow) {
        m_windowStart = now;
        m_movedBytes = 0;
    }
    m_movedBytes += bytes;
    m_movedAt = now;
}

bool ClientTable::Client::holdRequest(size_t bytes, TimePoint now)
{
    if (m_isDropped)
        return false;
    size_t before = std::exchange(m_requestBytes, bytes);
    m_table.m_usedBytes += bytes - before;
    if (bytes <= before)
        return true;
    moved(bytes - before, now);
    size_t limit = m_table.maxReadingBytes(bytes);
    return m_table.m_usedBytes <= limit || m_table.makeRoom(*this, limit, now);
}

bool ClientTable::Client::holdResponse(size_t bytes, TimePoint now)
{
    if (m_isDropped)
        return false;
    size_t before = std::exchange(m_responseBytes, bytes);
    m_table.m_usedBytes += bytes - before;
    if (bytes <= before)
        return true;
    m_movedBytes = 0;
    m_windowStart = now;
    m_movedAt = now;
    return m_table.m_usedBytes <= m_table.m_capacity.maxBytes || m_table.makeRoom(*this, m_table.m_capacity.maxBytes, now);
}

std::list<ClientTable::Client*>& ClientTable::listOf(Phase phase)
{
    switch (phase) {
    case Phase::Idle:
        return m_idle;
    case Phase::Reading:
        return m_reading;
    case Phase::Handling:
        break;
    }
    return m_handling;
}

void ClientTable::drop(Client& client, Drop how)
{
    m_usedBytes -= client.heldBytes();
    client.m_requestBytes = 0;
    client.m_responseBytes = 0;
    m_dropped.splice(m_dropped.end(), listOf(client.m_phase), client.m_position);
    client.m_isDropped = true;
    --m_connections;
    client.m_hooks.drop(how);
}

bool ClientTable::makeRoom(Client& client, size_t limit, TimePoint now)
{
    struct Candidate {
        Client* client;
        // Time in seconds in which the connection would move what it holds.
        double seconds;
    };
    std::vector<Candidate> candidates;
    auto add = [&](Client* candidate) {
        if (candidate->heldBytes() == 0)
            return;
        double window = std::chrono::duration<double>(now - candidate->m_windowStart).count();
        double bytes = static_cast<double>(std::max<size_t>(candidate->m_movedBytes, 1));
        candidates.push_back({ candidate, static_cast<double>(candidate->heldBytes()) * window / bytes });
    };
    for (Client* reader : m_reading)
        add(reader);
    for (Client* handled : m_handling) {
        if (handled->m_responseBytes > 0 && now - handled->m_movedAt >= stallTime)
            add(handled);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.seconds > b.seconds; });
    size_t target = limit - limit / roomDivisor;
    for (const Candidate& candidate : candidates) {
        if (m_usedBytes <= target)
            break;
        // A response that makes the room for itself stays.
        if (candidate.client == &client && client.m_phase == Phase::Handling)
            continue;
        bool isResponse = candidate.client->m_phase == Phase::Handling;
        ++(isResponse ? m_counters.unreadResponses : m_counters.memoryRefusals);
        drop(*candidate.client, isResponse ? Drop::Close : Drop::Refuse);
    }
    if (client.m_isDropped)
        return false;
    if (m_usedBytes <= limit)
        return true;
    // What remains is held by requests in progress.
    bool isResponse = client.m_phase == Phase::Handling;
    ++(isResponse ? m_counters.unreadResponses : m_counters.memoryRefusals);
    drop(client, isResponse ? Drop::Close : Drop::Refuse);
    return false;
}

bool ClientTable::admit()
{
    if (m_connections < m_capacity.maxConnections)
        return true;
    ++m_counters.closedConnections;
    int examined = 0;
    for (std::list<Client*>::iterator it = m_idle.begin(); it != m_idle.end() && examined < maxExamined; ++it, ++examined) {
        if ((*it)->m_hooks.isIdle()) {
            drop(**it, Drop::Close);
            return true;
        }
    }
    if (m_reading.empty())
        return false;
    // Each holds one connection, so the oldest is the slowest for it.
    drop(*m_reading.front(), Drop::Close);
    return true;
}

}
