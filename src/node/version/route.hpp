/// One route of the configuration: which requests it matches and how they are
/// answered.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace basilpath
{

/// A service that receives a share of a route's requests.
struct split_part
{
    service_name service;

    /// Relative to the weights of the other parts. Parts whose weights are all
    /// zero receive equal shares.
    double weight = 1.0;
};

/// How the parts of a scatter-gather query are merged into one answer.
struct gather_rule
{
    /// One service per shard.
    std::vector<service_name> shards;

    /// Most records of an answer.
    std::size_t most_records = 0;

    /// Minimum coverage: the share of shards that an answer needs.
    coverage least{0.0};
};

/// A route as the operator configured it.
struct route
{
    std::string name;

    /// Host name that requests must have.
    std::string host;

    /// Path prefix; begins and ends with a slash.
    std::string prefix;

    bool idempotent = false;

    /// Longest time for which a request is processed. The default is longer
    /// than any caller's deadline in the deployments.
    milliseconds timeout{10'000};

    /// Answers within this time earn full credit.
    milliseconds objective{0};

    /// Zero is the highest priority.
    int priority = 0;

    /// Most replicas of a service to which one request may be sent.
    unsigned attempts = 1;

    /// Services of which one answers a request; empty for a query over shards.
    std::vector<split_part> parts;

    gather_rule gather;

    /// Returns whether a request is sent to every shard.
    [[nodiscard]] bool gathers() const
    {
        return !this->gather.shards.empty();
    }
};

} // namespace basilpath
