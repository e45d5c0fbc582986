/// Fingerprints of queries that a target has answered without a crash.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace basilpath
{

/// A bounded set with least-recently-used eviction.
class proven_queries
{
public:
    explicit proven_queries(std::size_t limit);

    /// Returns whether the query has succeeded before, and marks it as used.
    [[nodiscard]] bool contains(fingerprint request_fingerprint);

    /// Records that the query has succeeded.
    void add(fingerprint request_fingerprint);

    /// Removes a query that has crashed a target since.
    void remove(fingerprint request_fingerprint);

private:
    using order = std::list<fingerprint>;

    std::size_t limit;
    order by_use;
    std::unordered_map<fingerprint, order::iterator> places;
};

} // namespace basilpath
