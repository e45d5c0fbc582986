/// What an entry shows to callers and operators besides answers.
#pragma once

#include "connection/http_answer.hpp"
#include "connection/peer_hub.hpp"
#include "process/burn_tracker.hpp"
#include "process/entry_metrics.hpp"
#include "process/home.hpp"
#include "process/runtime.hpp"

#include <map>

namespace basilpath
{

class http_exchange;

/// The parts of an entry that its views read; all outlive a view.
struct entry_parts
{
    entry_context<real_runtime, peer_hub>& shared;
    home<real_runtime, peer_hub>& own_home;
    const burn_tracker& burn;
    entry_metrics& metrics;

    /// Share of its capacity that each host uses, as far as it is known.
    std::map<host_id, double> loads;

    bool draining = false;

    /// Requests of callers in progress.
    std::size_t in_flight = 0;

    /// Time since the start of the process and since the document took force.
    milliseconds uptime{0};
    milliseconds document_age{0};
};

/// Answers a `GET` of `/v1/directory`, `/v1/status`, `/v1/explain/ID`,
/// `/v1/burn`, `/metrics`, `/healthz` or `/readyz`; any other path with
/// `unknown_path`, any other method with `method_not_allowed`.
[[nodiscard]] http_answer show_view(const entry_parts& parts,
                                    const http_exchange& exchange);

/// Makes an answer that carries no more than a code and a reason.
[[nodiscard]] http_answer plain_answer(result_code code, std::string reason);

} // namespace basilpath
