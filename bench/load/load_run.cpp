#include "load/load_run.hpp"

#include "load/control_channel.hpp"
#include "load/direct_worker.hpp"
#include "load/load_plan.hpp"

#include <algorithm>
#include <iterator>
#include <thread>

namespace basilpath::load
{

namespace
{

// Lets all threads start before the first arrival.
constexpr milliseconds start_delay{50};

// Distributes the arrivals round-robin among the workers.
std::vector<std::vector<arrival>> split_arrivals(std::vector<arrival> all,
                                                 std::size_t workers)
{
    std::vector<std::vector<arrival>> shares(workers);
    for (arrival& one : all)
    {
        shares[one.number % workers].push_back(std::move(one));
    }
    return shares;
}

// Runs each worker on a thread of its own and the plan's actions on this one.
template <class Worker>
run_record run_workers(const load_plan& plan,
                       const std::vector<std::unique_ptr<Worker>>& workers,
                       const std::string& control)
{
    std::ranges::for_each(workers,
                          [](const auto& worker) { worker->prepare(); });
    const auto start = std::chrono::steady_clock::now() + start_delay;
    std::vector<std::jthread> running;
    running.reserve(workers.size());
    for (const auto& worker : workers)
    {
        running.emplace_back([&worker, start] { worker->run(start); });
    }
    if (!control.empty())
    {
        control_channel(control).run_actions(plan.actions, start);
    }
    running.clear();
    run_record record;
    record.start =
        std::chrono::duration_cast<microseconds>(start.time_since_epoch());
    for (const auto& worker : workers)
    {
        std::ranges::copy(worker->outcomes(),
                          std::back_inserter(record.outcomes));
        record.unsent += worker->unsent();
    }
    return record;
}

} // namespace

run_record run_load(const load_plan& plan, const caller_options& options,
                    std::size_t threads, const std::string& control)
{
    std::vector<std::unique_ptr<load_worker>> workers;
    for (auto& share : split_arrivals(make_arrivals(plan), threads))
    {
        const std::uint64_t seed = plan.seed + workers.size() * options.callers;
        workers.push_back(std::make_unique<load_worker>(
            plan, options, std::move(share), seed));
    }
    return run_workers(plan, workers, control);
}

run_record run_direct(const load_plan& plan, const document& configuration,
                      const target_list& targets, std::size_t threads,
                      const std::string& control)
{
    std::vector<std::unique_ptr<direct_worker>> workers;
    for (auto& share : split_arrivals(make_arrivals(plan), threads))
    {
        const std::uint64_t seed = plan.seed + workers.size();
        workers.push_back(std::make_unique<direct_worker>(
            plan, configuration, targets, std::move(share), seed));
    }
    return run_workers(plan, workers, control);
}

} // namespace basilpath::load
