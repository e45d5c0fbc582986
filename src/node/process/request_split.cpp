#include "node/process/request_split.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace basilpath
{

request_split::request_split(std::uint64_t random)
    : position(static_cast<double>(random) /
               static_cast<double>(std::numeric_limits<std::uint64_t>::max()))
{
}

const service_name& request_split::next(std::span<const split_part> parts)
{
    this->position += std::numbers::phi;
    this->position -= std::floor(this->position);

    // Relative to the largest weight, as the sum of large weights may overflow.
    const double largest =
        std::ranges::max_element(parts, {}, &split_part::weight)->weight;
    const auto share = [largest](const split_part& part)
    {
        return largest > 0 ? part.weight / largest : 1.0;
    };
    double total = 0;
    for (const split_part& part : parts)
    {
        total += share(part);
    }

    // Rounding may leave a rest beyond the last part; that part is chosen then.
    double rest = this->position * total;
    const split_part* chosen = &parts.front();
    for (const split_part& part : parts)
    {
        if (share(part) > 0)
        {
            chosen = &part;
            rest -= share(part);
        }
        if (rest < 0)
        {
            break;
        }
    }
    return chosen->service;
}

} // namespace basilpath
