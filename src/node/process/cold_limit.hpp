/// The requests that a cold replica gets from all hosts together.
#pragma once

#include "node/process/limit_shares.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <optional>

namespace basilpath
{

/// By how much all hosts together may exceed the rate of a cold replica: in any
/// one second it gets at most `factor` times the rate and `requests` more.
/// Without a factor there is no bound.
struct cold_excess
{
    double factor = 0;
    double requests = 0;

    bool operator==(const cold_excess&) const = default;
};

/// What all hosts together send to a cold replica.
struct cold_limit
{
    request_rate rate;
    request_burst burst;
};

/// Returns the limit on the requests to a cold replica; nothing when no rate or
/// no bound is named. Half of what the bound leaves beside the rate is for
/// hosts whose views differ.
[[nodiscard]] inline std::optional<cold_limit>
cold_limit_of(request_rate rate, const cold_excess& bound)
{
    if (rate.value <= 0 || bound.factor <= 0)
    {
        return std::nullopt;
    }
    const double per_second = rate.value * bound.factor + bound.requests;
    const double at_once = std::max((per_second - rate.value) / 2, 1.0);
    return cold_limit{
        request_rate(std::clamp(per_second - at_once, 0.0, rate.value)),
        {0, at_once}};
}

} // namespace basilpath
