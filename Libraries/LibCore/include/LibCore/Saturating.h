#pragma once

#include <concepts>
#include <limits>

// Arithmetic on amounts that a client, a configuration or a peer may choose freely. A result that the type cannot hold becomes the
// nearest one that it can.
namespace Core {

template <std::signed_integral Number>
constexpr Number saturatingAdd(Number a, Number b)
{
    Number sum = 0;
    if (!__builtin_add_overflow(a, b, &sum))
        return sum;
    return b > 0 ? std::numeric_limits<Number>::max() : std::numeric_limits<Number>::min();
}

template <std::signed_integral Number>
constexpr Number saturatingSubtract(Number a, Number b)
{
    Number difference = 0;
    if (!__builtin_sub_overflow(a, b, &difference))
        return difference;
    return b < 0 ? std::numeric_limits<Number>::max() : std::numeric_limits<Number>::min();
}

template <std::signed_integral Number>
constexpr Number saturatingMultiply(Number a, Number b)
{
    Number product = 0;
    if (!__builtin_mul_overflow(a, b, &product))
        return product;
    return (a < 0) == (b < 0) ? std::numeric_limits<Number>::max() : std::numeric_limits<Number>::min();
}

}
