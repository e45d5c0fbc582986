#include "node/process/host_demand.hpp"

#include "version/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace basilpath
{

namespace
{

// Rates below this count as none.
constexpr double least_rate = 0.05;

constexpr double levels_per_doubling = 2;

} // namespace

demand_group demand_group_of(std::string_view first_service)
{
    return demand_group(
        static_cast<std::uint32_t>(rendezvous_hash("demand", first_service)));
}

double exact_level(request_rate rate)
{
    if (rate.value < least_rate)
    {
        return 0;
    }
    return 1 + levels_per_doubling * std::log2(std::max(rate.value, 1.0));
}

request_rate rate_of(demand_level level)
{
    return request_rate(
        level == 0 ? 0.0 : std::exp2((level - 1) / levels_per_doubling));
}

} // namespace basilpath
