/// The names of requests seen lately, in bounded memory.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace basilpath
{

/// Remembers the last requests up to a bound; the oldest is forgotten first.
class recent_requests
{
public:
    explicit recent_requests(std::size_t most) : most(most) {}

    /// Adds a request; false when it is known already.
    bool add(const request_id& one);

private:
    std::size_t most;
    std::deque<request_id> order;
    std::unordered_set<request_id> known;
};

} // namespace basilpath
