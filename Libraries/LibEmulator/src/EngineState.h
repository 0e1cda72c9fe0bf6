#pragma once

#include "EngineOrders.h"
#include "LibEmulator/EngineEmulator.h"
#include "StreamScheduler.h"
#include <memory>

namespace Emulator {

struct EngineEmulator::State {
    State(const boost::asio::any_io_executor& executor, const EngineSettings& settings)
        : settings(settings)
        , scheduler(std::make_shared<StreamScheduler>(executor, settings))
        , orders(settings.models, settings.checksFencing)
        , faultsChanged(executor)
    {
    }

    EngineSettings settings;
    EngineFaults faults;
    std::shared_ptr<StreamScheduler> scheduler;
    EngineOrders orders;
    Core::Signal faultsChanged;

    // Waits while the stop_answering fault is set.
    Core::Task<void> waitWhileAnsweringStopped()
    {
        while (faults.stopAnswering)
            co_await faultsChanged.wait(Core::Deadline::never());
    }
};

}
