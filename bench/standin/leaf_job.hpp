/// One request while a stand-in leaf has it.
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

    /// Cancelled to wake the job's task before its time.
    boost::asio::steady_timer wake;

    /// How often the key of a request to execute has been run; 0 for others.
    std::uint64_t run = 0;

    bool has_slot = false;
    bool cancelled = false;

    /// Set when the leaf has crashed under the job.
    bool lost = false;
};

} // namespace basilpath::standin
