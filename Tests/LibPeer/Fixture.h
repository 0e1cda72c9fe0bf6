#pragma once

#include "LibPeer/Network.h"
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace std::chrono_literals;

inline Peer::Settings makeSettings(const std::string& host, const std::string& key = "secret")
{
    Peer::Settings settings;
    settings.self = { host, 7, "domain-of-" + host };
    settings.listenAddress = { "127.0.0.1", 0 };
    settings.key = key;
    return settings;
}

// Two networks on one event loop. The second handles the calls "echo" and "delay", which answers after the number of
// milliseconds in the body.
struct Fixture {
    boost::asio::io_context context;
    Peer::Network first;
    Peer::Network second;
    Core::Address address;

    explicit Fixture(const std::string& secondKey = "secret")
        : first(context.get_executor(), makeSettings("first"))
        , second(context.get_executor(), makeSettings("second", secondKey))
    {
        Core::Reason reason;
        std::optional<Core::Address> bound = second.listen(reason);
        cr_assert(bound, "%s", reason.text().c_str());
        address = *bound;
        second.onCall("echo", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
            co_return body;
        });
        second.onCall("delay", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(std::stoi(body))));
            co_return body;
        });
    }

    // Runs the event loop until the task is complete.
    void run(Core::Task<void> task)
    {
        bool done = false;
        Core::spawn(context.get_executor(), "test", [](Core::Task<void> task, bool& done) -> Core::Task<void> {
            co_await std::move(task);
            done = true;
        }(std::move(task), done));
        runUntil([&done] { return done; });
    }

    void runUntil(const std::function<bool()>& condition)
    {
        while (!condition())
            cr_assert(context.run_one_for(30s) != 0, "event loop ran out of work, or no event within 30 s");
    }

    std::optional<std::string> call(const std::string& type, std::string body, Core::Deadline deadline, Core::Reason& reason)
    {
        std::optional<std::string> result;
        run([](Fixture& fixture, std::string type, std::string body, Core::Deadline deadline, Core::Reason& reason, std::optional<std::string>& result) -> Core::Task<void> {
            result = co_await fixture.first.call(fixture.address, std::move(type), std::move(body), deadline, reason);
        }(*this, type, std::move(body), deadline, reason, result));
        return result;
    }
};
