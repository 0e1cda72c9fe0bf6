#include "EmulatorProcess.h"

#include "Commands.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

namespace Commands {

int runEmulator(boost::asio::io_context& context, const std::string& addressText,
    const std::function<std::optional<Core::Address>(const Core::Address&, Core::Reason&)>& listen)
{
    Core::Reason reason;
    std::optional<Core::Address> address = Core::Address::parse(addressText, reason);
    if (!address) {
        std::fprintf(stderr, "jujuberelay: --listen: %s\n", reason.text().c_str());
        return InvalidInput;
    }
    std::optional<Core::Address> bound = listen(*address, reason);
    if (!bound) {
        std::fprintf(stderr, "jujuberelay: %s\n", reason.text().c_str());
        return Unreachable;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    std::printf("listening on %s\n", bound->text().c_str());
    std::fflush(stdout);
    context.run();
    return Success;
}

}
