#include "LibEmulator/PlatformEmulator.h"

#include "PlatformState.h"

namespace Emulator {

PlatformEmulator::PlatformEmulator(const boost::asio::any_io_executor& executor, PlatformSettings settings)
    : m_state(std::make_shared<State>(executor, std::move(settings)))
{
    std::shared_ptr<State> state = m_state;
    m_server = std::make_unique<HTTP::Server>(executor, [state](HTTP::Request request, HTTP::ResponseWriter& writer) {
        if (request.target.starts_with("/control/"))
            return serveControl(state, std::move(request), writer);
        return serveObjectApi(state, std::move(request), writer);
    });
}

PlatformEmulator::~PlatformEmulator()
{
    close();
}

std::optional<Core::Address> PlatformEmulator::listen(const Core::Address& address, Core::Reason& reason)
{
    return m_server->listen(address, reason);
}

PlatformCounters PlatformEmulator::counters() const
{
    PlatformCounters counters = m_state->counters;
    counters.waitingWatches = m_state->table.waitingWatches();
    return counters;
}

void PlatformEmulator::close()
{
    m_state->isClosed = true;
    m_server->closeAll();
    m_state->table.interruptWatches([](const std::string&) { return true; });
}

}
