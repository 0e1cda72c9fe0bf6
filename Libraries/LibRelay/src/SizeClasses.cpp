#include "LibRelay/SizeClasses.h"

#include <algorithm>
#include <cmath>

namespace Relay {

// Requests over which the averages are taken. Sizes have long tails, so that fewer say little.
static constexpr double averagedRequests = 200;
static constexpr size_t fewestRequests = 20;
// The part for small prompts is a multiple of one over this, so that most daemons arrive at the same one.
static constexpr double shareSteps = 8;

void SizeClasses::Average::add(double number)
{
    ++count;
    value += (number - value) / std::min(static_cast<double>(count), averagedRequests);
}

void SizeClasses::record(const std::string& route, Tokens work)
{
    double size = static_cast<double>(work);
    m_work.add(size);
    m_routes[route].add(size);
    m_smallWork.add(isLarge(route) ? 0 : size);
}

bool SizeClasses::isKnown() const
{
    return m_work.count >= fewestRequests && m_work.value > 0;
}

bool SizeClasses::isLarge(const std::string& route) const
{
    auto average = m_routes.find(route);
    return average != m_routes.end() && average->second.value > m_work.value;
}

size_t SizeClasses::endpointsForSmall(size_t endpoints) const
{
    if (endpoints < 2)
        return endpoints;
    double share = m_work.value > 0 ? m_smallWork.value / m_work.value : 1;
    double stepped = std::round(share * shareSteps) / shareSteps;
    auto part = static_cast<size_t>(std::lround(stepped * static_cast<double>(endpoints)));
    return std::clamp<size_t>(part, 1, endpoints - 1);
}

}
