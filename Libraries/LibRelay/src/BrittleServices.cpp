#include "LibRelay/BrittleServices.h"

#include <algorithm>

namespace Relay {

bool BrittleServices::record(const Endpoint& endpoint, std::optional<double> maxRejections, TimePoint now)
{
    bool wasBrittle = this->maxRejections(endpoint.service, now).has_value();
    if (!maxRejections && !wasBrittle)
        return false;
    std::map<std::string, Statement>& statements = m_services[endpoint.service];
    std::erase_if(statements, [now](const auto& entry) { return now - entry.second.saidAt > memory; });
    if (maxRejections)
        statements.insert_or_assign(endpoint.id, Statement { *maxRejections, now });
    else
        statements.erase(endpoint.id);
    return this->maxRejections(endpoint.service, now).has_value() != wasBrittle;
}

std::optional<double> BrittleServices::maxRejections(const std::string& service, TimePoint now) const
{
    std::optional<double> least;
    auto it = m_services.find(service);
    if (it == m_services.end())
        return least;
    for (const auto& [endpoint, statement] : it->second) {
        if (now - statement.saidAt <= memory)
            least = std::min(least.value_or(statement.maxRejections), statement.maxRejections);
    }
    return least;
}

}
