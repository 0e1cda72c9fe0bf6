#pragma once

#include "LibCore/Deadline.h"
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Relay {

// The places of brittle endpoints that one daemon assigns to the requests of all. A brittle endpoint falls over if it has to reject more
// requests in a second than it has named, whoever sent them, so that the requests in progress there are counted in one place.
class PlaceTable {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // A request's place, named by the daemon that holds it.
    struct Holder {
        std::string host;
        // A number that the host's process uses once.
        uint64_t number { 0 };
        auto operator<=>(const Holder&) const = default;
    };

    // Rejections within this time are counted together.
    static constexpr std::chrono::milliseconds rejectionWindow { 1'000 };

    // Assigns a place until it is returned, at the latest until the deadline. False if none is free, or if the endpoint must not reject
    // any more for now. `slots` is the number of requests that the endpoint runs at once.
    bool take(const std::string& endpoint, const Holder&, size_t slots, Core::Deadline, TimePoint now);

    // Returns a place. `maxRejections` is what the endpoint has named, if it rejected the request for want of room.
    void giveBack(const std::string& endpoint, const Holder&, std::optional<double> maxRejections, TimePoint now);

    size_t taken(const std::string& endpoint, TimePoint now);

private:
    struct Places {
        // Ends of the places that are taken.
        std::map<Holder, Core::Deadline> taken;
        // Requests that the endpoint takes at once, as far as its rejections have shown; between two whole numbers while it rises.
        double room { 0 };
        std::deque<TimePoint> rejections;
        TimePoint closedUntil {};
        TimePoint usedAt {};
    };

    std::map<std::string, Places> m_endpoints;
};

}
