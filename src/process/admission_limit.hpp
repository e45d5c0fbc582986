/// Adaptive limits on the requests of one service that are in progress, derived
/// from queueing delays.
#pragma once

#include "version/ids.hpp"

#include <concepts>
#include <cstddef>
#include <optional>

namespace basilpath
{

/// Measurements of one finished request, the input of a limit.
struct admission_sample
{
    /// Queueing delay: time spent waiting anywhere in the system.
    microseconds waited{0};

    /// Longest acceptable queueing delay of this kind of request.
    microseconds target{0};

    /// The request was answered in full.
    bool complete = false;

    /// Requests in progress when it was admitted.
    std::size_t in_progress = 0;

    /// Time from admission to answer.
    microseconds took{0};
};

/// A policy that limits the requests in progress.
template <class Policy>
concept admission_limit =
    requires(Policy& policy, const admission_sample& sample, microseconds now) {
        {
            policy.limit()
        } -> std::convertible_to<std::size_t>;
        policy.learn(sample, now);
    };

/// Lower bounds of a limit. The defaults suit callers of the limit that queue
/// the requests beyond it.
struct limit_bounds
{
    /// Lower bound under any queueing delay.
    double least = 2.0;

    /// Lower bound while delays are short, however few requests were in
    /// progress recently.
    double least_room = 6.0;
};

/// An additive-increase limit on the concurrency of a service. It grows by one
/// per round of requests while queueing delays are short and the limit is in
/// use. When delays are long it drops at once to the concurrency that, by
/// Little's law, keeps them within the target; samples of requests admitted
/// before the drop are ignored. It stays close to the recent concurrency, so
/// that it is low when a burst of requests arrives.
class wait_limit
{
public:
    explicit wait_limit(const limit_bounds& bounds = {});

    [[nodiscard]] std::size_t limit() const;

    void learn(const admission_sample& sample, microseconds now);

private:
    void decrease(const admission_sample& sample, microseconds now);
    void track_use(std::size_t in_progress, microseconds now);

    limit_bounds bounds;
    double allowed;
    double smoothed_wait = 0.0;
    double smoothed_target = 0.0;
    double smoothed_service = 0.0;
    microseconds decreased_at{0};
    std::optional<microseconds> window_end;
    std::size_t window_peak = 0;
    std::size_t previous_peak = 0;
};

} // namespace basilpath
