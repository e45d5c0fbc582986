/// Metrics of an entry.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/home.hpp"
#include "process/metrics_registry.hpp"
#include "process/runtime.hpp"
#include "request/result_code.hpp"

namespace basilpath
{

struct request_class;

/// Counts answers as they are given, and takes the counters of the sessions
/// over when the metrics are read.
class entry_metrics
{
public:
    /// Counts one answer.
    void record(const request_class& owner, result_code code,
                microseconds latency);

    /// All metrics in the text format, with the counters of the sessions as
    /// they are now.
    [[nodiscard]] std::string
    expose(const entry_context<real_runtime, peer_hub>& shared,
           const home<real_runtime, peer_hub>& own_home);

private:
    metrics_registry registry;
};

} // namespace basilpath
