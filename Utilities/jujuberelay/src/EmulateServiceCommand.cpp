#include "Commands.h"

#include "LibEmulator/ServiceEmulator.h"
#include "RunEmulator.h"
#include <gflags/gflags.h>

namespace Commands {

int emulateService(const Arguments&)
{
    boost::asio::io_context context(1);
    Emulator::ServiceEmulator service(context.get_executor());
    return runEmulator(
        context,
        [&service](const Core::Address& address, Core::Reason& reason) { return service.listen(address, reason); },
        [] {});
}

}
