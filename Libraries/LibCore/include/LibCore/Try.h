#pragma once

// Evaluates to the value of a std::optional, or returns std::nullopt from the enclosing function.
// For plain functions only; a coroutine tests the optional and uses co_return.
#define TRY(expression)              \
    ({                               \
        auto _result = (expression); \
        if (!_result)                \
            return std::nullopt;     \
        std::move(*_result);         \
    })
