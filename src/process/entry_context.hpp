/// What all sessions of one entry process share.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/admission_gate.hpp"
#include "process/proven_queries.hpp"
#include "process/reply_router.hpp"
#include "process/runtime.hpp"
#include "process/system_state.hpp"
#include "request/request_trace.hpp"
#include "version/routing_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace basilpath
{

/// Events that sessions count.
struct entry_counters
{
    std::uint64_t shards_asked = 0;
    std::uint64_t shards_merged = 0;
    std::uint64_t failovers = 0;
    std::uint64_t version_restarts = 0;
    std::uint64_t canaries = 0;
    std::uint64_t duplicate_results = 0;
    std::uint64_t wrong_version_results = 0;
    std::uint64_t malformed_results = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t homes_lost = 0;
};

/// Owned by the process; sessions hold it by shared ownership. Used on the
/// runtime's thread only.
template <runtime Runtime, peer_transport Transport>
struct entry_context
{
    using state_source = std::function<std::shared_ptr<const system_state>()>;

    /// `state` returns the state in force, never null.
    entry_context(Runtime& clockwork, Transport& transport, host_id own_host,
                  incarnation own_incarnation, state_source state)
        : clockwork(clockwork), transport(transport),
          own_host(std::move(own_host)), own_incarnation(own_incarnation),
          state(std::move(state))
    {
    }

    Runtime& clockwork;
    Transport& transport;
    host_id own_host;
    incarnation own_incarnation;

    /// Returns the state in force, never null.
    state_source state;

    reply_router<Runtime> router;
    routing_table routing;
    proven_queries proven{proven_query_limit};
    trace_ring traces{trace_limit};
    entry_counters counters;
    std::uint64_t next_request = 0;

    using gate_type = admission_gate<Runtime, wait_limit>;
    std::map<service_name, std::shared_ptr<gate_type>> gates;

    /// The gate of a service, made on first use.
    std::shared_ptr<gate_type> gate(const service_name& name)
    {
        auto& slot = this->gates[name];
        if (!slot)
        {
            slot = std::make_shared<gate_type>(this->clockwork, wait_limit());
        }
        return slot;
    }

    /// Returns a name for a request that no other request has.
    request_id new_request_id()
    {
        return request_id(fmt::format("{}-{:x}-{}", this->own_host.value,
                                      this->own_incarnation.value,
                                      ++this->next_request));
    }

    /// Share of the admission limits in use at the busiest service; 1 when
    /// requests wait for admission.
    [[nodiscard]] double used() const
    {
        double most = 0.0;
        for (const auto& [name, one] : this->gates)
        {
            const auto busy = static_cast<double>(one->admitted_now()) /
                              static_cast<double>(one->limit_now());
            most = std::max(most, one->waiting_now() > 0 ? 1.0 : busy);
        }
        return std::min(most, 1.0);
    }

    static constexpr std::size_t proven_query_limit = 100'000;
    static constexpr std::size_t trace_limit = 2'000;
};

} // namespace basilpath
