/// How many requests of one service may be in progress, learned from how long
/// they wait.
#pragma once

#include "version/ids.hpp"

#include <concepts>
#include <cstddef>

namespace basilpath
{

/// What a limit learns from: one finished request.
struct admission_sample
{
    /// Time spent waiting anywhere in the system, not being served.
    microseconds waited{0};

    /// Whether the request was answered in full.
    bool complete = false;

    /// Requests in progress when it was admitted.
    std::size_t in_progress = 0;

    /// Whole time from admission to answer.
    microseconds took{0};
};

/// A policy that says how many requests may be in progress.
template <class Policy>
concept admission_limit =
    requires(Policy& policy, const admission_sample& sample, microseconds now) {
        {
            policy.limit()
        } -> std::convertible_to<std::size_t>;
        policy.learn(sample, now);
    };

/// The limit grows by one per round of requests while waits are short and the
/// limit is in use, and shrinks by a factor, once per round, while they are
/// long.
class wait_limit
{
public:
    /// `target` is the wait that is still short.
    explicit wait_limit(microseconds target);

    [[nodiscard]] std::size_t limit() const;

    void learn(const admission_sample& sample, microseconds now);

private:
    microseconds target;
    double allowed;
    double smoothed_wait = 0.0;
    microseconds shrunk_at{0};
};

} // namespace basilpath
