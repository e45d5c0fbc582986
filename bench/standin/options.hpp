/// Behaviour of the stand-in leaves without injected faults.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace basilpath::standin
{

struct leaf_options
{
    std::uint64_t seed = 1;

    /// Median of the log-normal service time, and its standard deviation in
    /// logarithms.
    std::chrono::duration<double, std::milli> service_time{4.0};
    double sigma = 0.4;

    /// Requests that may wait for a slot; further ones are shed.
    std::size_t queue_limit = 16;

    /// The first `cold_requests` after a start take up to `cold_factor` times
    /// as long.
    std::uint32_t cold_requests = 20;
    double cold_factor = 3.0;

    /// Time during which a crashed leaf refuses connections.
    std::chrono::milliseconds restart_time{1000};

    /// Maximum random delay until a leaf holds a new index version.
    std::chrono::milliseconds switch_spread{0};

    /// Time for which a version removed from the document is still held.
    std::chrono::milliseconds version_keep{5000};

    /// Maximum age of the load report.
    std::chrono::milliseconds report_lag{500};
};

} // namespace basilpath::standin
