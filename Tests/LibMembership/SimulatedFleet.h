#pragma once

#include "LibMembership/ChooseLinks.h"
#include "LibMembership/GossipCodec.h"
#include "LibMembership/GossipExchange.h"
#include "LibMembership/View.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

inline Membership::Member makeMember(int number, int domains, uint64_t incarnation = 1)
{
    Membership::Member member;
    member.host = "host-" + std::to_string(number);
    member.incarnation = incarnation;
    member.failureDomain = "domain-" + std::to_string(number % domains);
    member.region = "region-" + std::to_string(number % domains % 3);
    member.peerAddress = { "10.0.0." + std::to_string(number % 250), 7000 };
    member.callerAddress = { "10.0.0." + std::to_string(number % 250), 8000 };
    return member;
}

// Simulates daemons that exchange encoded gossip messages through function calls, on a clock controlled by the test.
class SimulatedFleet {
public:
    struct Daemon {
        std::unique_ptr<Membership::View> view;
        std::unique_ptr<Membership::GossipExchange> exchange;
        bool isUp { true };
        bool membersChanged { true };
        std::vector<Membership::Member> links;
        size_t bytesSent { 0 };
        size_t messagesSent { 0 };
        std::vector<std::pair<uint64_t, uint64_t>> superseded;
    };

    SimulatedFleet(int count, int domains)
        : m_domains(domains)
    {
        for (int i = 0; i < count; ++i)
            start(i, 1, count);
    }

    // Starts or restarts a daemon whose view has the first `known` members, as read from the registry.
    void start(int number, uint64_t incarnation, int known)
    {
        Daemon& daemon = daemons[number];
        daemon = {};
        Membership::ViewHooks hooks;
        hooks.memberChanged = [](const Membership::Member&) {};
        hooks.incarnationSuperseded = [&daemon](const std::string&, uint64_t older, uint64_t newer) { daemon.superseded.emplace_back(older, newer); };
        daemon.view = std::make_unique<Membership::View>(makeMember(number, m_domains, incarnation), Membership::ViewLimits {}, hooks);
        daemon.exchange = std::make_unique<Membership::GossipExchange>(*daemon.view, Membership::GossipLimits {});
        for (int other = 0; other < known; ++other) {
            if (other != number)
                daemon.view->merge(Membership::GossipRecord { makeMember(other, m_domains), 0 }, now);
        }
    }

    // Advances the clock by one second, in which each daemon exchanges messages with its linked peers.
    void advanceOneSecond()
    {
        now += std::chrono::seconds(1);
        for (auto& [number, daemon] : daemons) {
            if (!daemon.isUp)
                continue;
            daemon.exchange->tick(now);
            if (daemon.membersChanged)
                chooseLinks(daemon);
            for (const Membership::Member& peer : daemon.links)
                call(daemon, peer.host);
        }
    }

    Daemon* find(const std::string& host) { return &daemons.at(std::stoi(host.substr(5))); }

    std::map<int, Daemon> daemons;
    Core::SteadyClock::time_point now { std::chrono::hours(1000) };

private:
    void chooseLinks(Daemon& daemon)
    {
        daemon.membersChanged = false;
        daemon.links = Membership::chooseLinks(daemon.view->self(), daemon.view->aliveMembers());
        std::set<std::string> linked;
        for (const Membership::Member& peer : daemon.links)
            linked.insert(peer.host);
        daemon.view->setLinked(linked, now);
    }

    Membership::GossipMessage transmit(Daemon& from, const Membership::GossipMessage& message)
    {
        Core::Reason reason;
        std::string bytes = Membership::GossipCodec::encode(message);
        from.bytesSent += bytes.size();
        ++from.messagesSent;
        return Membership::GossipCodec::decode(bytes, reason).value();
    }

    void call(Daemon& caller, const std::string& host)
    {
        Daemon& callee = *find(host);
        if (!callee.isUp) {
            caller.exchange->resetPeer(host);
            return;
        }
        std::string callerHost = caller.view->self().host;
        Membership::ConfirmedIntent confirmed { 1000, std::chrono::milliseconds(1500) };
        callee.exchange->receive(callerHost, transmit(caller, caller.exchange->compose(host, confirmed, now)), now);
        caller.exchange->receive(host, transmit(callee, callee.exchange->compose(callerHost, confirmed, now)), now);
    }

    int m_domains;
};
