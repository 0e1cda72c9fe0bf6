#include "RunEmulator.h"

#include "Commands.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP number and port to listen on; the kernel chooses port 0");

namespace Commands {

int runEmulator(
    boost::asio::io_context& context,
    const std::function<std::optional<Core::Address>(const Core::Address&, Core::Reason&)>& listen,
    const std::function<void()>& close)
{
    Core::Reason reason;
    std::optional<Core::Address> wanted = Core::Address::parse(FLAGS_listen, reason);
    if (!wanted) {
        std::fprintf(stderr, "jujuberelay: --listen: %s\n", reason.text().c_str());
        return InvalidInput;
    }
    // Signal handlers are installed before the address is printed, so that a signal sent right after that is handled.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (error)
            return;
        close();
        context.stop();
    });
    std::optional<Core::Address> address = listen(*wanted, reason);
    if (!address) {
        std::fprintf(stderr, "jujuberelay: %s\n", reason.text().c_str());
        return Unreachable;
    }
    std::printf("listening on %s\n", address->text().c_str());
    std::fflush(stdout);
    context.run();
    return Success;
}

}
