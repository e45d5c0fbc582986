/// One replica of a service, as it registered itself.
#pragma once

#include "version/ids.hpp"

#include <cstdint>

namespace basilpath
{

/// A registered leaf. The same id with another start time is a new incarnation.
struct replica
{
    leaf_id id;
    service_name service;
    http_address address;
    failure_domain domain;

    /// Requests that it runs concurrently.
    unsigned slots = 1;

    /// It accepts no new requests.
    bool leaving = false;

    /// Remaining time for which it is cold: slow, after its start or without
    /// work.
    milliseconds warmup{0};

    /// Unix time of its start in milliseconds; zero when unknown.
    std::int64_t started = 0;

    bool operator==(const replica&) const = default;
};

} // namespace basilpath
