/// Metrics of an agent.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/gossip_state.hpp"
#include "process/metrics_registry.hpp"

#include <cstdint>
#include <string>

namespace basilpath
{

/// What an agent tells of itself beside its gossip counters.
struct agent_figures
{
    std::size_t neighbours = 0;
    std::size_t subscribers = 0;
    std::size_t links = 0;
    std::uint64_t platform_calls = 0;
};

/// Takes the counters of the agent over when the metrics are read.
class agent_metrics
{
public:
    /// All metrics in the text format, as they are now.
    [[nodiscard]] std::string expose(const gossip_state& state,
                                     const peer_traffic& traffic,
                                     const agent_figures& figures);

private:
    void follow_counters(const gossip_state& state, const peer_traffic& traffic,
                         const agent_figures& figures);
    void set_gauges(const gossip_state& state, const agent_figures& figures);

    metrics_registry registry;
};

} // namespace basilpath
