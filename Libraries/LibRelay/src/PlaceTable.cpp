#include "LibRelay/PlaceTable.h"

#include <algorithm>

namespace Relay {

// An endpoint is forgotten once it has not been used for this long.
static constexpr std::chrono::seconds placesLifetime(60);
// Part of the rejections that an endpoint has named from which it gets nothing for a window. The rest is for requests without a place: of
// daemons that have just started, or that do not reach the one that assigns the places.
static constexpr double maxRejectionsFraction = 0.5;

bool PlaceTable::take(const std::string& endpoint, const Holder& holder, size_t slots, Core::Deadline deadline, TimePoint now)
{
    std::erase_if(m_endpoints, [now](const auto& entry) { return now - entry.second.usedAt > placesLifetime; });
    auto [it, isNew] = m_endpoints.try_emplace(endpoint);
    Places& places = it->second;
    places.usedAt = now;
    double limit = static_cast<double>(std::max<size_t>(slots, 1));
    if (isNew)
        places.room = limit;
    places.room = std::min(places.room, limit);
    std::erase_if(places.taken, [now](const auto& entry) { return now >= entry.second.at(); });
    if (now < places.closedUntil || static_cast<double>(places.taken.size() + 1) > places.room)
        return false;
    places.taken.insert_or_assign(holder, deadline);
    return true;
}

void PlaceTable::giveBack(const std::string& endpoint, const Holder& holder, std::optional<double> maxRejections, TimePoint now)
{
    auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return;
    Places& places = it->second;
    bool wasTaken = places.taken.erase(holder) > 0;
    if (!maxRejections) {
        // Each full round of answers shows room for one more.
        places.room += wasTaken ? 1 / std::max(1.0, places.room) : 0;
        return;
    }
    places.room = std::max(1.0, std::min(places.room, static_cast<double>(places.taken.size())));
    std::erase_if(places.rejections, [now](TimePoint at) { return now - at >= rejectionWindow; });
    places.rejections.push_back(now);
    if (static_cast<double>(places.rejections.size()) >= std::max(1.0, *maxRejections * maxRejectionsFraction))
        places.closedUntil = now + rejectionWindow;
}

size_t PlaceTable::taken(const std::string& endpoint, TimePoint now)
{
    auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return 0;
    std::erase_if(it->second.taken, [now](const auto& entry) { return now >= entry.second.at(); });
    return it->second.taken.size();
}

}
