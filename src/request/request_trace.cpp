#include "request/request_trace.hpp"

#include <algorithm>
#include <ranges>

namespace basilpath
{

trace_ring::trace_ring(std::size_t limit) : limit(limit) {}

void trace_ring::add(const std::shared_ptr<const request_trace>& trace)
{
    if (this->traces.size() >= this->limit)
    {
        this->traces.pop_front();
    }
    this->traces.push_back(trace);
}

std::shared_ptr<const request_trace>
trace_ring::find(const std::string& id) const
{
    const auto newest_first = this->traces | std::views::reverse;
    const auto found = std::ranges::find_if(
        newest_first, [&id](const auto& trace)
        { return trace->id.value == id || trace->caller_id == id; });
    return found == newest_first.end() ? nullptr : *found;
}

} // namespace basilpath
