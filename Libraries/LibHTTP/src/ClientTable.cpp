#include "ClientTable.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace HTTP {

// Length of the window in which the speed of a connection is measured while it transfers.
static constexpr std::chrono::milliseconds speedWindow(1'000);
// A client that has transferred nothing for this long is taken to have stopped. A lost packet may be sent again after 1 s and 2 s more.
static constexpr std::chrono::milliseconds stallTime(3'000);
// When memory is short, this part of the limit is made free at once, so that the connections are not compared for each read.
static constexpr size_t headroomDivisor = 16;
// Idle connections that are examined for one that can be closed.
static constexpr int maxExamined = 16;

ClientTable::Client::Client(ClientTable& table, Hooks hooks, TimePoint now)
    : m_table(table)
    , m_hooks(std::move(hooks))
    , m_position(table.m_idle.insert(table.m_idle.end(), this))
    , m_windowStart(now)
    , m_transferredAt(now)
{
    ++m_table.m_connections;
}

ClientTable::Client::~Client()
{
    m_table.m_usedBytes -= reservedBytes();
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
    m_transferredBytes = 0;
    m_windowStart = now;
    m_transferredAt = now;
}

void ClientTable::Client::recordTransfer(size_t bytes, TimePoint now)
{
    if (now - m_windowStart >= speedWindow) {
        m_windowStart = now;
        m_transferredBytes = 0;
    }
    m_transferredBytes += bytes;
    m_transferredAt = now;
}

void ClientTable::Client::recordSent(size_t bytes, TimePoint now)
{
    recordTransfer(bytes, now);
    m_unsentBytes = m_hooks.unsentBytes ? m_hooks.unsentBytes() : 0;
}

bool ClientTable::Client::reserveRequest(size_t bytes, TimePoint now)
{
    if (m_isDropped)
        return false;
    size_t before = std::exchange(m_requestBytes, bytes);
    m_table.m_usedBytes += bytes - before;
    if (bytes <= before)
        return true;
    recordTransfer(bytes - before, now);
    size_t limit = m_table.maxReadingBytes(bytes);
    if (m_table.m_usedBytes <= limit || m_table.freeMemory(*this, limit, now))
        return true;
    m_table.dropForMemory(*this);
    return false;
}

void ClientTable::Client::setResponseBytes(size_t bytes, TimePoint now)
{
    size_t before = std::exchange(m_responseBytes, bytes);
    m_table.m_usedBytes += bytes - before;
    if (bytes <= before)
        return;
    m_transferredBytes = 0;
    m_windowStart = now;
    m_transferredAt = now;
    m_unsentBytes = m_hooks.unsentBytes ? m_hooks.unsentBytes() : 0;
}

bool ClientTable::Client::reserveResponse(size_t bytes, TimePoint now)
{
    if (m_isDropped)
        return false;
    setResponseBytes(bytes, now);
    size_t limit = m_table.m_capacity.maxBytes;
    if (bytes == 0 || m_table.m_usedBytes <= limit || m_table.freeMemory(*this, limit, now))
        return true;
    m_table.dropForMemory(*this);
    return false;
}

void ClientTable::Client::reserveChunk(size_t bytes, TimePoint now)
{
    if (m_isDropped)
        return;
    setResponseBytes(bytes, now);
    size_t limit = m_table.m_capacity.maxBytes;
    if (bytes > 0 && m_table.m_usedBytes > limit)
        m_table.freeMemory(*this, limit, now);
}

bool ClientTable::Client::isResponseStalled(TimePoint now)
{
    if (now - m_transferredAt < stallTime)
        return false;
    size_t unsentBytes = m_hooks.unsentBytes ? m_hooks.unsentBytes() : m_unsentBytes;
    // The system's buffer takes no more from the process until a large part of it is free.
    if (unsentBytes < m_unsentBytes) {
        recordTransfer(m_unsentBytes - unsentBytes, now);
        m_unsentBytes = unsentBytes;
        return false;
    }
    return true;
}

double ClientTable::Client::transferSeconds(TimePoint now) const
{
    double window = std::chrono::duration<double>(now - m_windowStart).count();
    size_t transferredBytes = now - m_transferredAt >= stallTime ? 1 : std::max<size_t>(m_transferredBytes, 1);
    return static_cast<double>(reservedBytes()) * window / static_cast<double>(transferredBytes);
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
    m_usedBytes -= client.reservedBytes();
    client.m_requestBytes = 0;
    client.m_responseBytes = 0;
    m_dropped.splice(m_dropped.end(), listOf(client.m_phase), client.m_position);
    client.m_isDropped = true;
    --m_connections;
    client.m_hooks.drop(how);
}

void ClientTable::dropForMemory(Client& client)
{
    bool isResponse = client.m_phase == Phase::Handling;
    ++(isResponse ? m_counters.unreadResponses : m_counters.memoryRefusals);
    drop(client, isResponse ? Drop::Close : Drop::Refuse);
}

bool ClientTable::freeMemory(Client& client, size_t limit, TimePoint now)
{
    struct Candidate {
        Client* client;
        // Candidates of a lower rank are dropped first.
        int rank;
        double seconds;
    };
    bool isResponse = client.m_phase == Phase::Handling;
    bool isLargeRequest = !isResponse && client.reservedBytes() > smallRequestBytes;
    std::vector<Candidate> candidates;
    for (Client* reader : m_reading) {
        bool isSmall = reader->reservedBytes() <= smallRequestBytes;
        if (reader->reservedBytes() > 0 && !(isSmall && isLargeRequest))
            candidates.push_back({ reader, isSmall ? 1 : 0, reader->transferSeconds(now) });
    }
    if (isResponse) {
        for (Client* handled : m_handling) {
            if (handled != &client && handled->m_responseBytes > 0 && handled->isResponseStalled(now))
                candidates.push_back({ handled, 2, handled->transferSeconds(now) });
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.rank != b.rank ? a.rank < b.rank : a.seconds > b.seconds;
    });
    // Nothing is dropped before it is known to be enough.
    size_t remainingBytes = m_usedBytes;
    std::vector<Candidate>::iterator end = candidates.begin();
    for (; end != candidates.end() && remainingBytes > limit; ++end) {
        if (end->client == &client)
            return false;
        remainingBytes -= end->client->reservedBytes();
    }
    if (remainingBytes > limit)
        return false;
    // Only stalled requests are dropped beyond what is needed now.
    size_t target = limit - limit / headroomDivisor;
    for (; end != candidates.end() && remainingBytes > target; ++end) {
        if (end->client == &client || end->rank > 1 || now - end->client->m_transferredAt < stallTime)
            break;
        remainingBytes -= end->client->reservedBytes();
    }
    for (std::vector<Candidate>::iterator it = candidates.begin(); it != end; ++it)
        dropForMemory(*it->client);
    return true;
}

bool ClientTable::admit()
{
    if (m_connections < m_capacity.maxConnections)
        return true;
    ++m_counters.closedConnections;
    int examined = 0;
    for (std::list<Client*>::iterator it = m_idle.begin(); it != m_idle.end() && examined < maxExamined; ++it, ++examined) {
        if ((*it)->m_hooks.isIdle()) {
            drop(**it, Drop::Replace);
            return true;
        }
    }
    if (m_reading.empty())
        return false;
    // Each takes one connection, so the oldest is the slowest for it.
    drop(*m_reading.front(), Drop::Replace);
    return true;
}

}
