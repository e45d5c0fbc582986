/// Requests of callers for sessions of a node.
#pragma once

#include "node/request/caller_query.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <memory>
#include <string>

namespace basilpath::test
{

/// The request of this number for the host of the sample routes.
inline std::shared_ptr<const caller_query>
sample_query(const std::string& target, std::size_t number,
             milliseconds caller_timeout, instant now)
{
    auto query = std::make_shared<caller_query>();
    query->method = "GET";
    query->host = "h";
    query->target = target;
    query->id = request_id(fmt::format("r{}", number));
    query->caller_timeout = caller_timeout;
    query->arrived = now;
    return query;
}

} // namespace basilpath::test
