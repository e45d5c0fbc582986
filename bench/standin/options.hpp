/// How the stand-in's leaves behave when nothing is wrong with them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace basilpath::standin
{

struct leaf_options
{
    std::uint64_t seed = 1;

    /// Median and log-normal spread of the service time.
    std::chrono::duration<double, std::milli> service_time{4.0};
    double sigma = 0.4;

    /// Requests that wait for a slot before more are shed.
    std::size_t queue_limit = 16;

    /// The first requests after a start take up to `cold_factor` as long.
    std::uint32_t cold_requests = 20;
    double cold_factor = 3.0;

    /// Time that a crashed leaf refuses connections.
    std::chrono::milliseconds restart_time{1000};

    /// A new index version is held after a random time up to this.
    std::chrono::milliseconds switch_spread{0};

    /// A version that has left the document is held for this time.
    std::chrono::milliseconds version_keep{5000};

    /// Age of what the load endpoint tells.
    std::chrono::milliseconds report_lag{500};
};

} // namespace basilpath::standin
