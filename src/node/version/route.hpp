/// One route of the configuration: which requests it takes and how they are
/// answered.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace basilpath
{

/// A service that takes a share of a route's requests.
struct split_part
{
    service_name service;

    /// Relative to the weights of the other parts. Parts whose weights are all
    /// zero take equal shares.
    double weight = 1.0;
};

/// How the parts of a query over many shards become one answer.
struct gather_rule
{
    /// One service per shard.
    std::vector<service_name> shards;

    /// Most records of an answer.
    std::size_t most_records = 0;

    /// Least share of the shards that makes an answer.
    coverage least{0.0};
};

/// A route, as the operator configured it.
struct route
{
    std::string name;

    /// Host name that callers ask for.
    std::string host;

    /// Begins and ends with a slash.
    std::string prefix;

    bool idempotent = false;

    /// Longest time that a caller is kept waiting. Unless something else is
    /// said, longer than any deadline of a caller in the deployments.
    milliseconds timeout{10'000};

    /// Answers within this time earn full credit.
    milliseconds objective{0};

    /// Zero is the most urgent.
    int priority = 0;

    /// Most replicas of a service to which one request may be sent.
    unsigned attempts = 1;

    /// Services of which one takes a request; empty for a query over shards.
    std::vector<split_part> parts;

    gather_rule gather;

    /// Tells whether a request goes to every shard.
    [[nodiscard]] bool gathers() const
    {
        return !this->gather.shards.empty();
    }
};

} // namespace basilpath
