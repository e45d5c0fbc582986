/// The schedule of a run: every request with its send time.
#pragma once

#include "version/ids.hpp"

#include <string>
#include <vector>

namespace basilpath::load
{

struct load_plan;

/// One scheduled request.
struct arrival
{
    /// Number of the request within the run.
    std::uint64_t number = 0;

    /// Time since the start of the run.
    microseconds at{0};

    /// Index of its mix in the plan.
    std::size_t mix = 0;

    /// Key of the query; equal for repeated queries.
    std::string subject;

    /// Whether the caller sends it twice.
    bool resend = false;
};

/// Draws Poisson arrivals for every mix of the plan, ordered by time. The
/// result depends only on the plan and its seed.
[[nodiscard]] std::vector<arrival> make_arrivals(const load_plan& plan);

} // namespace basilpath::load
