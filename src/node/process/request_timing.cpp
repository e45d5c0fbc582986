#include "node/process/request_timing.hpp"

#include <algorithm>
#include <cstdint>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

// Time kept before the end so that a refusal still reaches the caller.
constexpr microseconds deadline_margin = 20ms;

microseconds share_of(milliseconds whole, double share)
{
    return microseconds(static_cast<std::int64_t>(
        share * 1000.0 * static_cast<double>(whole.count())));
}

} // namespace

microseconds hedge_wait(const route& rule, microseconds slow,
                        const hedge_bounds& bounds)
{
    return std::clamp(slow, share_of(rule.objective, bounds.least_share),
                      share_of(rule.objective, bounds.most_share));
}

instant answer_deadline(const route& rule, instant arrived,
                        milliseconds caller_timeout)
{
    return arrived + std::min(caller_timeout, rule.timeout) - deadline_margin;
}

} // namespace basilpath
