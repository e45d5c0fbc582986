/// One replica of a service, as it registered itself.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <tuple>

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

    /// Counts its registrations since its start; zero when unknown.
    std::int64_t sequence = 0;

    /// Returns whether two registrations are of one process.
    [[nodiscard]] bool same_process(const replica& other) const
    {
        return std::tie(this->started, this->address, this->service) ==
               std::tie(other.started, other.address, other.service);
    }

    bool operator==(const replica&) const = default;

    /// Returns whether the replica registered itself in this way before it did
    /// so as in `other`. A process that leaves does not come back.
    [[nodiscard]] bool registered_before(const replica& other) const
    {
        return std::tie(this->started, this->sequence, this->leaving) <
               std::tie(other.started, other.sequence, other.leaving);
    }
};

} // namespace basilpath
