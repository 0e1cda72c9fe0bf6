#pragma once

#include "LibPeer/Network.h"
#include <map>
#include <set>

namespace Peer {

// State shared by all links of a network.
struct LinkContext {
    boost::asio::any_io_executor executor;
    Settings settings;
    Counters counters;
    std::map<std::string, Network::CallHandler> callHandlers;
    std::map<std::string, Network::NoticeHandler> noticeHandlers;
    std::set<std::string> blockedHosts;

    bool isBlocked(const std::string& host) const { return blockedHosts.contains(host); }
};

}
