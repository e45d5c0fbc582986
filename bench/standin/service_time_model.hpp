/// Random service times of a leaf.
#pragma once

#include "standin/options.hpp"

#include <chrono>
#include <cstdint>
#include <random>

namespace basilpath::standin
{

/// Draws log-normal times, which are longer for the first requests after a
/// start.
class service_time_model
{
public:
    service_time_model(const leaf_options& options, std::uint64_t seed);

    /// Draws the service time of the next request, multiplied by `slowness`.
    [[nodiscard]] std::chrono::nanoseconds draw(double slowness);

    /// Makes the next requests cold again, as after a start.
    void restart();

private:
    leaf_options options;
    std::mt19937_64 generator;
    std::normal_distribution<double> normal;
    std::uint32_t drawn = 0;
};

} // namespace basilpath::standin
