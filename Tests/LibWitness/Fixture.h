#pragma once

#include "LibWitness/Settler.h"
#include "LibWitness/WitnessClient.h"
#include "LibWitness/WitnessService.h"
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace std::chrono_literals;

inline Core::Deadline testDeadline()
{
    return Core::Deadline::after(20s);
}

inline Core::Deadline expiredDeadline()
{
    return Core::Deadline(Core::SteadyClock::now() - 1s);
}

inline Witness::Record recordOf(const std::string& attemptId, const std::string& requestId, const Ledger::Holder& owner)
{
    Witness::Record record;
    record.attemptId = attemptId;
    record.requestId = requestId;
    record.budget = { "workspace", "budget" };
    record.owner = owner;
    record.tokensHeld = 500;
    record.endpoint = "engine";
    record.streamId = "stream-" + attemptId;
    record.deadline = Core::Deadline::after(60s);
    return record;
}

inline Ledger::Usage usageOf(const Witness::Record& record, Ledger::Tokens tokens)
{
    return { record.attemptId, record.requestId, record.budget, record.owner, tokens, Ledger::UsageKind::Complete, 1 };
}

// Several daemons on one event loop. For every request, witnesses are ordered as the daemons were added.
struct Fleet {
    struct Daemon {
        Peer::Network network;
        Witness::RecordStore store;
        Witness::WitnessService service;
        Witness::WitnessClient client;
        Membership::Member member;

        Daemon(Fleet& fleet, const Peer::Settings& settings)
            : network(fleet.context.get_executor(), settings)
            , service(network, store)
            , client(fleet.context.get_executor(), network, store, settings.self, { [&fleet] { return fleet.members; }, [](std::string_view, std::vector<Membership::Member> members) { return members; } })
        {
        }

        Ledger::Holder holder() const { return { member.host, member.incarnation }; }
    };

    boost::asio::io_context context;
    std::vector<Membership::Member> members;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;

    Daemon& add(const std::string& host, const std::string& domain, uint64_t incarnation = 1)
    {
        Peer::Settings settings;
        settings.self = { host, incarnation, domain };
        settings.listenAddress = { "127.0.0.1", 0 };
        settings.key = "secret";
        auto daemon = std::make_unique<Daemon>(*this, settings);
        Core::Reason reason;
        std::optional<Core::Address> address = daemon->network.listen(reason);
        cr_assert(address, "%s", reason.text().c_str());
        daemon->member.host = host;
        daemon->member.incarnation = incarnation;
        daemon->member.failureDomain = domain;
        daemon->member.peerAddress = *address;
        members.push_back(daemon->member);
        daemons[host] = std::move(daemon);
        return *daemons[host];
    }

    void setState(const std::string& host, Membership::MemberState state)
    {
        for (Membership::Member& member : members) {
            if (member.host == host)
                member.state = state;
        }
    }

    // Blocks traffic between the host and all others, in both directions.
    void partition(const std::string& host)
    {
        for (auto& [name, daemon] : daemons) {
            if (name == host)
                daemon->network.setBlockedHosts(otherHosts(host));
        }
    }

    std::vector<std::string> otherHosts(const std::string& host) const
    {
        std::vector<std::string> hosts;
        for (const auto& [name, daemon] : daemons) {
            if (name != host)
                hosts.push_back(name);
        }
        return hosts;
    }

    template <typename T>
    T run(Core::Task<T> task)
    {
        std::optional<T> result;
        Core::spawn(context.get_executor(), "test", [](Core::Task<T> task, std::optional<T>& result) -> Core::Task<void> {
            result = co_await std::move(task);
        }(std::move(task), result));
        runUntil([&result] { return result.has_value(); });
        return std::move(*result);
    }

    void run(Core::Task<void> task)
    {
        run([](Core::Task<void> task) -> Core::Task<bool> {
            co_await std::move(task);
            co_return true;
        }(std::move(task)));
    }

    void runUntil(const std::function<bool()>& condition)
    {
        while (!condition())
            cr_assert(context.run_one_for(30s) != 0, "the event loop has no more work, or was idle for 30 s");
    }

    Witness::OpenResult open(Daemon& daemon, const Witness::Record& record, Witness::IdentityKind kind = Witness::IdentityKind::IdempotencyKey)
    {
        Core::Reason reason;
        std::optional<Witness::OpenResult> result = run(daemon.client.open(record, testDeadline(), reason, kind));
        cr_assert(result, "%s", reason.text().c_str());
        return *result;
    }

    bool close(Daemon& daemon, const Ledger::Usage& usage)
    {
        Core::Reason reason;
        return run(daemon.client.close(usage.attemptId, usage, testDeadline(), reason));
    }
};

// An in-memory ledger, and an endpoint with a fixed token count for each stream.
struct FakeLedgerAndEndpoint {
    std::map<std::string, Ledger::Usage> bills;
    std::vector<std::string> cancelled;
    std::map<std::string, Ledger::Tokens> streams;
    bool isLedgerDown { false };
    bool isEndpointDown { false };
    Witness::OwnerState ownerState { Witness::OwnerState::Alive };
    std::map<Ledger::Holder, Witness::OwnerState> otherStates;
    std::function<void()> onCancel;

    Ledger::ResultCode apply(const Ledger::Usage& usage)
    {
        return bills.emplace(usage.attemptId, usage).second ? Ledger::ResultCode::Applied : Ledger::ResultCode::Duplicate;
    }

    Witness::Settler::Hooks hooks()
    {
        Witness::Settler::Hooks hooks;
        hooks.ownerState = [this](const Ledger::Holder& holder) {
            auto position = otherStates.find(holder);
            return position == otherStates.end() ? ownerState : position->second;
        };
        hooks.cancelStream = [this](std::string, std::string streamId, Core::Deadline, Core::Reason& reason) { return cancel(streamId, reason); };
        hooks.shardOf = [](const Ledger::BudgetId&) { return 3u; };
        hooks.submit = [this](uint32_t shard, std::vector<Ledger::Entry> entries, Core::Deadline, Core::Reason& reason) { return submit(shard, entries, reason); };
        hooks.now = [] { return int64_t(1000); };
        return hooks;
    }

    Core::Task<std::optional<Ledger::Tokens>> cancel(std::string streamId, Core::Reason& reason)
    {
        if (onCancel)
            onCancel();
        reason.kind = isEndpointDown ? Core::FailureKind::Unavailable : Core::FailureKind::NotFound;
        if (isEndpointDown || !streams.contains(streamId))
            co_return std::nullopt;
        cancelled.push_back(streamId);
        co_return streams.at(streamId);
    }

    Core::Task<std::optional<std::vector<Ledger::EntryResult>>> submit(uint32_t shard, std::vector<Ledger::Entry> entries, Core::Reason& reason)
    {
        cr_assert_eq(shard, 3u);
        reason.kind = Core::FailureKind::Unavailable;
        if (isLedgerDown)
            co_return std::nullopt;
        std::vector<Ledger::EntryResult> results;
        for (const Ledger::Entry& entry : entries) {
            Ledger::EntryResult result;
            result.code = apply(std::get<Ledger::Usage>(entry));
            results.push_back(result);
        }
        co_return results;
    }
};

// Settings without delays, so that tests do not wait for retries.
inline Witness::SettlerSettings settingsWithoutDelays()
{
    Witness::SettlerSettings settings;
    settings.notFoundRecheckDelay = 0ms;
    settings.initialRetryDelay = 0ms;
    settings.maxRetryDelay = 0ms;
    return settings;
}
