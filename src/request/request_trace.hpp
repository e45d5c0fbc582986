/// What happened to one request, kept for a while for `explain`.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace basilpath
{

/// One event of a request and when it happened after the request's arrival.
struct trace_event
{
    microseconds at{0};
    std::string text;
};

/// The events of one request, in order.
struct request_trace
{
    request_id id;
    std::string caller_id;
    std::vector<trace_event> events;
};

/// The traces of the latest requests; the oldest makes room.
class trace_ring
{
public:
    explicit trace_ring(std::size_t limit);

    /// Adds a trace that its session goes on writing to.
    void add(const std::shared_ptr<const request_trace>& trace);

    /// Finds a trace by our id or by the caller's; null when it is not kept.
    [[nodiscard]] std::shared_ptr<const request_trace>
    find(const std::string& id) const;

private:
    std::size_t limit;
    std::deque<std::shared_ptr<const request_trace>> traces;
};

} // namespace basilpath
