#pragma once

#include "LibCore/Address.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace HTTP {

inline constexpr const char* memoryShortMessage = "the memory for responses is short, or this peer takes up too much of it";

// Bounds the memory that a process uses for what it has received of responses, over all connections. A peer may use at most half as
// much as is left free, so that one that sends bytes without end leaves two thirds of the budget to the others, and any number of
// such peers leaves something.
class BufferBudget {
    // What the reservations for one peer use.
    struct Usage {
        size_t bytes { 0 };
        size_t reservations { 0 };
    };

public:
    explicit BufferBudget(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    size_t maxBytes() const { return m_maxBytes; }
    size_t usedBytes() const { return m_usedBytes; }
    // Number of requests for more memory that were refused since construction.
    uint64_t refusals() const { return m_refusals; }

    // A part of the budget that is used for one peer, until its destruction.
    class Reservation {
    public:
        Reservation(std::shared_ptr<BufferBudget>, const Core::Address& peer);
        ~Reservation();
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Changes the size of the reservation. Returns false, without effect, if it would take up too much.
        bool resize(size_t bytes);

    private:
        std::shared_ptr<BufferBudget> m_budget;
        std::map<Core::Address, Usage>::iterator m_peer;
        size_t m_bytes { 0 };
    };

private:
    std::map<Core::Address, Usage> m_peers;
    size_t m_maxBytes;
    size_t m_usedBytes { 0 };
    uint64_t m_refusals { 0 };
};

}
