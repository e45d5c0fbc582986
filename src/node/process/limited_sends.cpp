#include "node/process/limited_sends.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

void limited_sends::note(const leaf_id& replica, call_purpose purpose)
{
    ++this->totals.at(static_cast<std::size_t>(purpose));
    ++this->recent[replica];
}

limited_sends::report limited_sends::take_report(const named_limits& limits,
                                                 instant now)
{
    report result;
    double busiest_ratio = 0;
    for (const auto& [id, sends] : std::exchange(this->recent, {}))
    {
        const auto rate = limits.find(id, now);
        if (!rate)
        {
            continue;
        }
        ++result.replicas;
        result.sends += sends;
        const double ratio =
            static_cast<double>(sends) / std::max(rate->value, 1.0);
        if (ratio > busiest_ratio)
        {
            busiest_ratio = ratio;
            result.busiest = id;
            result.busiest_sends = sends;
            result.busiest_rate = *rate;
        }
    }
    return result;
}

} // namespace basilpath
