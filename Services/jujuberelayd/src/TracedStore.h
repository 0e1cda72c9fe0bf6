#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibTelemetry/Tracer.h"

// Wraps the store to record a span for each call except watches, which block until their deadline. Each span starts its
// own trace, since one call may serve several requests (group commit). The tracer must outlive the store.
Platform::ObjectStore tracedStore(Platform::ObjectStore, Telemetry::Tracer&);
