#pragma once

#include "LibCore/Deadline.h"
#include "LibHTTP/ClientCapacity.h"
#include <cstdint>
#include <functional>
#include <list>

namespace HTTP {

// Bounds the memory and the number of a server's connections. If memory is short, the connections that are slowest for what they hold
// are dropped; if connections are short, the one that has been idle longest. Requests that are being handled are never dropped.
class ClientTable {
public:
    using TimePoint = Core::SteadyClock::time_point;

    enum class Phase {
        // Waits for the first byte of a request.
        Idle,
        Reading,
        Handling,
    };

    // What is done with a dropped connection.
    enum class Drop {
        Refuse,
        // The connection is needed for another client, so that nothing more is read from it.
        Close,
    };

    struct Counters {
        uint64_t memoryRefusals { 0 };
        uint64_t unreadResponses { 0 };
        uint64_t closedConnections { 0 };
    };

    struct Hooks {
        std::function<void(Drop)> drop;
        // Whether an idle connection has received nothing yet of its next request.
        std::function<bool()> isIdle;
    };

    // One connection, until its destruction.
    class Client {
    public:
        Client(ClientTable&, Hooks, TimePoint now);
        ~Client();
        Client(const Client&) = delete;
        Client& operator=(const Client&) = delete;

        void setPhase(Phase, TimePoint now);
        // Sets the memory for the request. Returns false if this connection has to be dropped, which is then not charged any more.
        bool holdRequest(size_t bytes, TimePoint now);
        // Sets the memory for a response. Returns false as holdRequest does.
        bool holdResponse(size_t bytes, TimePoint now);
        // Records that the client takes bytes of its response.
        void recordSent(size_t bytes, TimePoint now) { moved(bytes, now); }
        bool isDropped() const { return m_isDropped; }

    private:
        friend class ClientTable;
        size_t heldBytes() const { return m_requestBytes + m_responseBytes; }
        void moved(size_t bytes, TimePoint now);

        ClientTable& m_table;
        Hooks m_hooks;
        std::list<Client*>::iterator m_position;
        Phase m_phase { Phase::Idle };
        size_t m_requestBytes { 0 };
        size_t m_responseBytes { 0 };
        bool m_isDropped { false };
        // Bytes received or sent since the start of the window in which the speed is measured.
        size_t m_movedBytes { 0 };
        TimePoint m_windowStart;
        TimePoint m_movedAt;
    };

    void setCapacity(ClientCapacity capacity) { m_capacity = std::move(capacity); }
    const ClientCapacity& capacity() const { return m_capacity; }
    size_t usedBytes() const { return m_usedBytes; }
    size_t connections() const { return m_connections; }
    size_t readingConnections() const { return m_reading.size(); }
    const Counters& counters() const { return m_counters; }

    // Makes room for a new connection. Returns false if all connections have requests in progress.
    bool admit();

private:
    // Large requests leave room for small ones, and both leave room for responses.
    size_t maxReadingBytes(size_t heldBytes) const
    {
        static constexpr size_t smallRequestBytes = size_t { 24 } * 1024;
        return heldBytes <= smallRequestBytes ? m_capacity.maxBytes / 8 * 7 : m_capacity.maxBytes / 4 * 3;
    }
    std::list<Client*>& listOf(Phase);
    // Drops connections until the memory in use is within the limit. Returns false if the client itself was dropped.
    bool makeRoom(Client&, size_t limit, TimePoint now);
    void drop(Client&, Drop);

    ClientCapacity m_capacity;
    Counters m_counters;
    // In the order in which they came to the phase.
    std::list<Client*> m_idle;
    std::list<Client*> m_reading;
    std::list<Client*> m_handling;
    // Those that were dropped and have not ended.
    std::list<Client*> m_dropped;
    size_t m_connections { 0 };
    size_t m_usedBytes { 0 };
};

}
