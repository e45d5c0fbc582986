/// A complete run on several threads.
#pragma once

#include "load/load_worker.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace basilpath
{
struct document;
struct target_list;
} // namespace basilpath

namespace basilpath::load
{

/// The requests of a run and the number that the tool did not send.
struct run_record
{
    std::vector<std::shared_ptr<request_outcome>> outcomes;
    std::size_t unsent = 0;

    /// Start of the run on the monotonic clock, which all processes share.
    microseconds start{0};
};

/// Runs a plan that calls the leaves directly, with replicas picked at random.
/// This is the baseline for the overhead and the policies of basilpath.
[[nodiscard]] run_record run_direct(const load_plan& plan,
                                    const document& configuration,
                                    const target_list& targets,
                                    std::size_t threads,
                                    const std::string& control);

/// Runs a plan on `threads` threads; blocks until every request has ended.
/// Posts the plan's actions to the stand-in at the address `control`, unless it
/// is empty.
[[nodiscard]] run_record run_load(const load_plan& plan,
                                  const caller_options& options,
                                  std::size_t threads,
                                  const std::string& control);

} // namespace basilpath::load
