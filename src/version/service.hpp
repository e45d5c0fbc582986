/// A service that callers may query.
#pragma once

#include "version/ids.hpp"

#include <memory>
#include <vector>

namespace basilpath
{

struct index_version;

/// How a query reaches the shards of a service.
enum class service_kind : std::uint8_t
{
    fanout, ///< every shard is asked and the answers are merged
    lookup  ///< one shard is asked, chosen by the key of the request
};

/// How the items of the shards form one answer.
enum class merge_rule : std::uint8_t
{
    concatenate, ///< all items, in the order of the shards
    top          ///< the items with the largest `score`, best first
};

/// One `[service NAME]` section of a document with its versions.
struct service
{
    service_name name;
    service_kind kind = service_kind::fanout;
    merge_rule merge = merge_rule::concatenate;

    /// Most items in one answer.
    std::uint32_t item_limit = 1000;

    /// Whether non-idempotent requests may be sent to the service.
    bool accepts_execute = false;

    /// Hedged attempts allowed, as a share of first attempts.
    double hedge_share = 0.03;

    /// Retried attempts allowed, as a share of first attempts.
    double retry_share = 0.10;

    /// Hosts among which the owners of the service's leaves are chosen;
    /// divides every leaf's connection limit.
    std::uint32_t owner_hosts = 8;

    /// Versions that may be queried, newest first; never empty.
    std::vector<std::shared_ptr<const index_version>> versions;
};

} // namespace basilpath
