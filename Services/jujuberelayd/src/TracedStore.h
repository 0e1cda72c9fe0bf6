#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibTelemetry/Tracer.h"

// The same store with a span for each call but the watches, which wait for up to their deadline. A call serves several
// requests at once (group commit), so its span begins a trace of its own. The tracer must outlive the store.
Platform::ObjectStore tracedStore(Platform::ObjectStore, Telemetry::Tracer&);
