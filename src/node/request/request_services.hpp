/// Services that all sessions of one host share.
#pragma once

#include "node/process/crash_detector.hpp"
#include "node/process/delegate_pool.hpp"
#include "node/process/node_metrics.hpp"
#include "node/process/request_log.hpp"
#include "node/process/retry_budget.hpp"
#include "node/process/shutdown_time.hpp"
#include "node/request/target_transport.hpp"
#include "process/runtime.hpp"

namespace basilpath
{

/// References to objects that exist as long as the process, and when it ends.
template <runtime Runtime, target_transport Transport>
struct request_services
{
    Runtime& run;
    Transport& targets;
    retry_budget& repeats;
    request_log& log;
    node_metrics& metrics;
    crash_detector& crashes;
    delegate_pool& delegates;
    shutdown_time shutdown{};
};

} // namespace basilpath
