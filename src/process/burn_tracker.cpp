#include "process/burn_tracker.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basilpath
{

namespace
{

constexpr std::size_t class_limit = 1'000;
constexpr const char* overflow_class = "other";

// Tells whether a request counts, served or not: it does unless its caller got
// it wrong or went away in time.
bool counts(const request_class& owner, const burn_outcome& outcome)
{
    const auto number = static_cast<unsigned>(outcome.code);
    const bool callers_fault = number >= 100 && number < 200;
    const bool left_early = outcome.code == result_code::cancelled &&
                            outcome.latency <= owner.objective_latency;
    return !callers_fault && !left_early;
}

bool is_served(const request_class& owner, const burn_outcome& outcome)
{
    const bool whole = outcome.code == result_code::complete ||
                       outcome.code == result_code::repeated;
    return whole && outcome.latency <= owner.objective_latency;
}

// Returns the place of an answer's coverage among the steps.
std::size_t coverage_step(double share)
{
    const auto steps = static_cast<double>(coverage_steps - 1);
    return static_cast<std::size_t>(std::clamp(share * steps, 0.0, steps));
}

} // namespace

burn_tracker::burn_tracker(microseconds start, double scale)
    : start(start), scale(scale)
{
}

void burn_tracker::record(const request_class& owner,
                          const burn_outcome& outcome, microseconds now)
{
    tracked_class& one = this->find(owner);
    one.totals.codes[static_cast<std::uint32_t>(outcome.code)] += 1;
    if (!counts(owner, outcome))
    {
        return;
    }
    const bool served = is_served(owner, outcome);
    one.window.record(served, now);
    one.totals.lifetime += {1, served ? 1U : 0U};
    if (info(outcome.code).http_status == 200)
    {
        one.totals.latency.record(outcome.latency);
        one.totals.coverage[coverage_step(outcome.coverage.value)] += 1;
    }
}

std::string burn_tracker::to_json(microseconds now) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, one] : this->classes)
    {
        burn_class totals = one.totals;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
        {
            totals.windows[i] = one.window.counts(i, now);
        }
        list.push_back(basilpath::to_json(totals));
    }
    const nlohmann::json whole = {
        {"scale", this->scale},
        {"uptime_ms", (now - this->start).count() / 1'000},
        {"classes", std::move(list)}};
    return whole.dump();
}

// Returns the counts of a class, whose objectives may have changed; beyond a
// limit all new classes share one.
burn_tracker::tracked_class& burn_tracker::find(const request_class& owner)
{
    const bool full = this->classes.size() >= class_limit &&
                      !this->classes.contains(owner.name);
    const class_name name = full ? class_name(overflow_class) : owner.name;
    auto found = this->classes.find(name);
    if (found == this->classes.end())
    {
        found = this->classes
                    .emplace(name, tracked_class{burn_window(this->scale), {}})
                    .first;
    }
    burn_class& totals = found->second.totals;
    totals.name = name.value;
    totals.service = owner.service.value;
    totals.worth = owner.value.value;
    totals.objective_ms = static_cast<double>(owner.objective_latency.count());
    totals.objective_share = owner.objective_share;
    return found->second;
}

} // namespace basilpath
