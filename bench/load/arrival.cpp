#include "load/arrival.hpp"

#include "load/load_plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <random>

namespace basilpath::load
{

namespace
{

constexpr std::uint64_t repeated_subject_count = 20;

// Returns the rate factor that applies at a time.
double factor_at(const std::vector<rate_step>& steps, microseconds at)
{
    const auto next = std::ranges::upper_bound(steps, at, {}, &rate_step::at);
    return next == steps.begin() ? 1.0 : std::prev(next)->factor;
}

// Returns the largest rate factor of the run, at least 1.
double largest_factor(const std::vector<rate_step>& steps)
{
    const auto largest =
        std::ranges::max_element(steps, {}, &rate_step::factor);
    return largest == steps.end() ? 1.0 : std::max(1.0, largest->factor);
}

// Draws the arrivals of one mix by thinning: candidates arrive at the peak rate
// of the run, and each is kept with the probability rate(t) / peak rate.
void add_arrivals(const load_plan& plan, std::size_t index,
                  std::vector<arrival>& all)
{
    const traffic_mix& mix = plan.mixes[index];
    const double peak = largest_factor(plan.steps);
    if (mix.rate * peak <= 0.0)
    {
        return;
    }
    std::seed_seq seeds{plan.seed, static_cast<std::uint64_t>(index)};
    std::mt19937_64 generator(seeds);
    std::exponential_distribution<double> interarrival_s(mix.rate * peak);
    std::uniform_real_distribution<double> share(0.0, 1.0);
    double now_s = interarrival_s(generator);
    for (; now_s * 1e3 < static_cast<double>(plan.duration.count());
         now_s += interarrival_s(generator))
    {
        const microseconds at(static_cast<std::int64_t>(now_s * 1e6));
        if (share(generator) * peak >= factor_at(plan.steps, at))
        {
            continue;
        }
        const bool repeated = share(generator) < mix.repeat_share;
        const std::uint64_t subject = repeated
                                          ? generator() % repeated_subject_count
                                          : repeated_subject_count + all.size();
        const bool resend = share(generator) < mix.resend_share;
        all.push_back({0, at, index,
                       fmt::format("{}-{}-{}", plan.seed, mix.name, subject),
                       resend});
    }
}

} // namespace

std::vector<arrival> make_arrivals(const load_plan& plan)
{
    std::vector<arrival> all;
    for (std::size_t index = 0; index < plan.mixes.size(); ++index)
    {
        add_arrivals(plan, index, all);
    }
    std::ranges::stable_sort(all, {}, &arrival::at);
    std::uint64_t number = 0;
    for (arrival& one : all)
    {
        one.number = number++;
    }
    return all;
}

} // namespace basilpath::load
