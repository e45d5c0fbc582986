#include "standin/service_time_model.hpp"

#include <cmath>

namespace basilpath::standin
{

service_time_model::service_time_model(const leaf_options& options,
                                       std::uint64_t seed)
    : options(options), generator(seed), normal(0.0, options.sigma)
{
}

std::chrono::nanoseconds service_time_model::draw(double slowness)
{
    double factor = slowness * std::exp(this->normal(this->generator));
    if (this->drawn < this->options.cold_requests)
    {
        const double coldness = 1.0 - static_cast<double>(this->drawn) /
                                          this->options.cold_requests;
        factor *= 1.0 + (this->options.cold_factor - 1.0) * coldness;
        ++this->drawn;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        this->options.service_time * factor);
}

void service_time_model::restart()
{
    this->drawn = 0;
}

} // namespace basilpath::standin
