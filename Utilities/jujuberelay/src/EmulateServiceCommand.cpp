#include "EmulateServiceCommand.h"

#include "EmulatorProcess.h"
#include "LibEmulator/ServiceEmulator.h"
#include <gflags/gflags.h>

DECLARE_string(listen);

namespace Commands {

int emulateService(const Arguments&)
{
    boost::asio::io_context context(1);
    Emulator::ServiceEmulator service(context.get_executor());
    return runEmulator(context, FLAGS_listen, [&service](const Core::Address& address, Core::Reason& reason) { return service.listen(address, reason); });
}

}
