/// What the sessions of a relay share.
#pragma once

#include "connection/leaf_table.hpp"
#include "connection/leaf_transport.hpp"
#include "process/attempt_budget.hpp"
#include "process/latency_tracker.hpp"
#include "process/pause_watch.hpp"
#include "process/quarantine_table.hpp"
#include "process/relay_counts.hpp"
#include "process/relay_policy.hpp"
#include "process/slot_queue.hpp"

#include <functional>
#include <map>
#include <memory>

namespace basilpath
{

struct system_state;

/// What a relay has learned of one service.
struct service_record
{
    /// Latencies of leaf calls that were served.
    latency_tracker latency;
    attempt_budget hedges{service_record::first_hedges};
    attempt_budget retries{service_record::first_retries};

    /// Extra attempts that a new process may make before it has earned any.
    static constexpr double first_hedges = 2.0;
    static constexpr double first_retries = 10.0;
};

/// Lives as long as the process. Used on one thread.
template <runtime Runtime, leaf_transport Transport>
struct relay_context
{
    relay_context(Runtime& owner, Transport& transport, relay_policy policy)
        : owner(owner), transport(transport), policy(policy),
          slots(std::make_shared<slot_queue<Runtime>>(owner))
    {
    }

    [[nodiscard]] instant now() const
    {
        return to_instant(Runtime::clock::now());
    }

    Runtime& owner;
    Transport& transport;
    relay_policy policy;
    std::shared_ptr<slot_queue<Runtime>> slots;
    leaf_table leaves;
    std::map<service_name, service_record> services;
    std::shared_ptr<const system_state> state;
    relay_counts counts;
    quarantine_table quarantines;
    pause_watch pauses;

    /// Tells the agent that a leaf is draining.
    std::function<void(const leaf_id&)> report_leaving = [](const leaf_id&) {
    };

    /// Tells the agent of a new quarantine.
    std::function<void(const quarantine&)> report_quarantine =
        [](const quarantine&) {
        };
};

} // namespace basilpath
