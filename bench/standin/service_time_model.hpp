/// How long the work of one request takes at a leaf.
#pragma once

#include "standin/options.hpp"

#include <chrono>
#include <cstdint>
#include <random>

namespace basilpath::standin
{

/// Log-normal times, longer for the first requests after a start.
class service_time_model
{
public:
    service_time_model(const leaf_options& options, std::uint64_t seed);

    /// Draws the time of the next request, `slowness` times as long as usual.
    [[nodiscard]] std::chrono::nanoseconds draw(double slowness);

    /// Makes the next requests slow again, as after a start.
    void restart();

private:
    leaf_options options;
    std::mt19937_64 generator;
    std::normal_distribution<double> normal;
    std::uint32_t drawn = 0;
};

} // namespace basilpath::standin
