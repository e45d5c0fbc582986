/// The requests that a cold replica gets from all hosts together.
#pragma once

#include "node/process/limit_shares.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <optional>

namespace basilpath
{

/// By how much all hosts together may exceed the rate of a cold replica in any
/// one second: in that second it gets at most `factor` times the rate and
/// `requests` more.
struct cold_excess
{
    double factor = 0;
    double requests = 0;

    bool operator==(const cold_excess&) const = default;
};

/// Returns what all hosts together may send at once beyond the rate; nothing
/// when no rate or no bound is named. Half of what the bound leaves is for
/// hosts whose views differ.
[[nodiscard]] inline std::optional<request_burst>
cold_burst(request_rate rate, const cold_excess& bound)
{
    const double per_second = rate.value * bound.factor + bound.requests;
    if (rate.value <= 0 || per_second <= 0)
    {
        return std::nullopt;
    }
    const double spare = std::max(per_second - rate.value, 0.0);
    return request_burst{0, std::max(spare / 2, 1.0)};
}

} // namespace basilpath
