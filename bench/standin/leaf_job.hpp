/// A request that a stand-in leaf is processing.
#pragma once

#include "standin/leaf_call.hpp"
#include "standin/leaf_request.hpp"
#include "standin/slot_queue.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace basilpath::standin
{

struct leaf_job
{
    job_number number = 0;
    std::shared_ptr<leaf_call> call;
    leaf_request request;

    /// Cancelled to resume the coroutine of the job early.
    boost::asio::steady_timer wake;

    /// Number of starts of the key of a request to execute, this one included;
    /// 0 for other requests.
    std::uint64_t run = 0;

    bool has_slot = false;
    bool cancelled = false;

    /// Whether the leaf crashed while it processed the job.
    bool lost = false;
};

} // namespace basilpath::standin
