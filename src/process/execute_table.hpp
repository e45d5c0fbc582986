/// Requests to execute that this relay has been given, and their results.
#pragma once

#include "connection/wire.pb.h"
#include "version/ids.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace basilpath
{

/// Remembers the last requests up to a bound; the oldest is forgotten first.
/// A home gives each request its own name, so a name that comes twice is the
/// same request.
class execute_table
{
public:
    explicit execute_table(std::size_t most) : most(most) {}

    /// Adds a request; false when it is known already.
    bool add(const request_id& one);

    /// Keeps the result of a request.
    void finish(const wire::LeafExecuteResult& result);

    /// The result of a request, once it has ended.
    [[nodiscard]] std::optional<wire::LeafExecuteResult>
    find(const request_id& one) const;

private:
    using result = std::optional<wire::LeafExecuteResult>;

    std::size_t most;
    std::deque<request_id> order;
    std::unordered_map<request_id, result> known;
};

} // namespace basilpath
