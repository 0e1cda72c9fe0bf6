#pragma once

#include "LibCore/Async.h"
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <optional>

// Runs the context until the task has completed and returns its result. Fails the test after 60 s.
template <typename T>
T runTask(boost::asio::io_context& context, Core::Task<T> task)
{
    std::optional<T> result;
    Core::spawn(context.get_executor(), "test", [](Core::Task<T> task, std::optional<T>& result) -> Core::Task<void> {
        result.emplace(co_await std::move(task));
    }(std::move(task), result));
    Core::Deadline watchdog = Core::Deadline::after(std::chrono::seconds(60));
    while (!result) {
        cr_assert_not(watchdog.hasPassed(), "the task did not complete within 60 s");
        context.restart();
        context.run_one_for(std::chrono::seconds(1));
    }
    return std::move(*result);
}
