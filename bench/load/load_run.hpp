/// A whole run over several threads.
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

/// The requests of a run and how many the tool itself failed to send.
struct run_record
{
    std::vector<std::shared_ptr<request_outcome>> outcomes;
    std::size_t unsent = 0;

    /// Start of the run on the monotonic clock, which all processes share.
    microseconds start{0};
};

/// Runs a plan with the leaves called directly, as by a caller that knows them
/// all and picks replicas at random: what basilpath's own cost and its policies
/// are compared with.
[[nodiscard]] run_record run_direct(const load_plan& plan,
                                    const document& configuration,
                                    const target_list& targets,
                                    std::size_t threads,
                                    const std::string& control);

/// Runs a plan from `threads` threads; blocks until every request has ended.
/// Actions of the plan are posted to the stand-in at `control`, an address or
/// empty.
[[nodiscard]] run_record run_load(const load_plan& plan,
                                  const caller_options& options,
                                  std::size_t threads,
                                  const std::string& control);

} // namespace basilpath::load
