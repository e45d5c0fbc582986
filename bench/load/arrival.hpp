/// The schedule of a run: every request with the time at which it is due.
#pragma once

#include "version/ids.hpp"

#include <string>
#include <vector>

namespace basilpath::load
{

struct load_plan;

/// One request that a caller wants to make.
struct arrival
{
    /// Number of the request within the run.
    std::uint64_t number = 0;

    /// Time since the start of the run.
    microseconds at{0};

    /// Index of its mix in the plan.
    std::size_t mix = 0;

    /// What the request asks for; equal for repeated queries.
    std::string subject;

    /// Whether the caller sends it twice.
    bool resend = false;
};

/// Draws Poisson arrivals for every mix of the plan, in the order of time. A
/// pure function of the plan and its seed.
[[nodiscard]] std::vector<arrival> make_arrivals(const load_plan& plan);

} // namespace basilpath::load
