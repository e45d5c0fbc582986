/// The metrics of basilpath-relay.
#pragma once

#include "process/metrics_registry.hpp"

#include <cstddef>
#include <string>

namespace basilpath
{

class leaf_table;
struct peer_traffic;
struct relay_counts;

/// What a relay is busy with at this moment.
struct relay_load
{
    std::size_t in_progress = 0;
    std::size_t waiting = 0;
    std::size_t quarantined = 0;
};

/// Takes the counters of the sessions over when the metrics are read.
class relay_metrics
{
public:
    /// All metrics in the text format.
    [[nodiscard]] std::string expose(const relay_counts& counts,
                                     const relay_load& load,
                                     const leaf_table& leaves,
                                     const peer_traffic& traffic);

private:
    metrics_registry registry;
};

} // namespace basilpath
