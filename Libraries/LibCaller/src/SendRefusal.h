#pragma once

#include "LibCaller/Observer.h"
#include "LibHTTP/ResponseWriter.h"

namespace Caller {

// Reports the refusal and the end of the request to the observer, then sends the response. The refusal must stay valid
// until the task completes.
Core::Task<void> sendRefusal(const Observer&, const Refusal&, HTTP::ResponseWriter&);

}
