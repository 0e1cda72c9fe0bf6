#pragma once

#include "../LibPlatform/RunTask.h"
#include "LibEmulator/PlatformEmulator.h"
#include "LibHTTP/Client.h"
#include "LibPlatform/HttpObjectStore.h"

// A platform emulator and a client that share an io_context.
struct PlatformFixture {
    boost::asio::io_context context;
    Emulator::PlatformEmulator emulator;
    std::shared_ptr<HTTP::Client> client;
    Core::Address address;
    Platform::ObjectStore store;
    Core::Reason reason;

    explicit PlatformFixture(Emulator::PlatformSettings settings = {})
        : emulator(context.get_executor(), std::move(settings))
        , client(std::make_shared<HTTP::Client>(context.get_executor()))
    {
        address = emulator.listen({ "127.0.0.1", 0 }, reason).value();
        store = storeOf("host-a");
    }

    Platform::ObjectStore storeOf(const std::string& clientName)
    {
        return Platform::HttpObjectStore(client, address, clientName).hooks();
    }

    std::optional<Platform::Version> put(const std::string& name, const std::string& value, Platform::Version expected = 0)
    {
        return Testing::run(context, store.put(name, value, expected, Testing::soon(), reason));
    }

    std::optional<Platform::Object> get(const std::string& name)
    {
        return Testing::run(context, store.get(name, Testing::soon(), reason));
    }

    bool remove(const std::string& name, Platform::Version expected)
    {
        return Testing::run(context, store.remove(name, expected, Testing::soon(), reason));
    }

    std::optional<Platform::Listing> list(const std::string& prefix)
    {
        return Testing::run(context, store.list(prefix, Testing::soon(), reason));
    }

    std::optional<Platform::Changes> watch(const std::string& prefix, Platform::Version since, Core::Deadline deadline = Testing::soon())
    {
        return Testing::run(context, store.watch(prefix, since, deadline, reason));
    }

    // Sends a request unchanged, for malformed requests and control requests.
    HTTP::Response send(HTTP::Request request)
    {
        std::optional<HTTP::Response> response
            = Testing::run(context, client->roundTrip(address, std::move(request), Testing::soon(), reason));
        cr_assert(response, "%s", reason.text().c_str());
        return *response;
    }

    void setFaults(const std::string& json)
    {
        cr_assert_eq(send({ "POST", "/control/faults", {}, json }).status, 200u);
    }
};
