/// Fingerprints of queries that targets are known to survive.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace basilpath
{

/// A bounded set; the fingerprint used longest ago makes room.
class proven_queries
{
public:
    explicit proven_queries(std::size_t limit);

    /// Tells whether the query has succeeded before, and marks it as used.
    [[nodiscard]] bool contains(fingerprint request_fingerprint);

    /// Notes that the query has succeeded.
    void add(fingerprint request_fingerprint);

    /// Forgets a query that has crashed a target after all.
    void remove(fingerprint request_fingerprint);

private:
    using order = std::list<fingerprint>;

    std::size_t limit;
    order by_use;
    std::unordered_map<fingerprint, order::iterator> places;
};

} // namespace basilpath
