#include "LibHTTP/BufferBudget.h"

#include <utility>

namespace HTTP {

// A peer may use what is left free, divided by this.
static constexpr size_t freeBytesDivisor = 2;

BufferBudget::Reservation::Reservation(std::shared_ptr<BufferBudget> budget, const Core::Address& peer)
    : m_budget(std::move(budget))
    , m_peer(m_budget->m_peers.try_emplace(peer).first)
{
    ++m_peer->second.reservations;
}

BufferBudget::Reservation::~Reservation()
{
    resize(0);
    if (--m_peer->second.reservations == 0)
        m_budget->m_peers.erase(m_peer);
}

bool BufferBudget::Reservation::resize(size_t bytes)
{
    size_t used = m_budget->m_usedBytes - m_bytes + bytes;
    size_t usedByPeer = m_peer->second.bytes - m_bytes + bytes;
    if (bytes > m_bytes && (used > m_budget->m_maxBytes || usedByPeer > (m_budget->m_maxBytes - used) / freeBytesDivisor)) {
        ++m_budget->m_refusals;
        return false;
    }
    m_budget->m_usedBytes = used;
    m_peer->second.bytes = usedByPeer;
    m_bytes = bytes;
    return true;
}

}
