/// How many requests of one service may be in progress, learned from how long
/// they wait.
#pragma once

#include "version/ids.hpp"

#include <concepts>
#include <cstddef>
#include <optional>

namespace basilpath
{

/// What a limit learns from: one finished request.
struct admission_sample
{
    /// Time spent waiting anywhere in the system, not being served.
    microseconds waited{0};

    /// The wait that is still short for a request of this kind.
    microseconds target{0};

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

/// What a limit does not fall below; as they are where requests that find it
/// reached can wait.
struct limit_bounds
{
    /// However long the waits are.
    double least = 2.0;

    /// While waits are short, however few requests there were lately.
    double least_room = 6.0;
};

/// The limit grows by one per round of requests while waits are short and the
/// limit is in use. When waits are long it falls at once to what, by Little's
/// law, would wait no longer than the target; requests admitted before the fall
/// teach it nothing more. It never stands far above what was in use lately, so
/// that a sudden crest does not find it wide open.
class wait_limit
{
public:
    explicit wait_limit(const limit_bounds& bounds = {});

    [[nodiscard]] std::size_t limit() const;

    void learn(const admission_sample& sample, microseconds now);

private:
    void fall(const admission_sample& sample, microseconds now);
    void note_use(std::size_t in_progress, microseconds now);

    limit_bounds bounds;
    double allowed;
    double smoothed_wait = 0.0;
    double smoothed_target = 0.0;
    double smoothed_service = 0.0;
    microseconds fallen_at{0};
    std::optional<microseconds> window_end;
    std::size_t most_of_window = 0;
    std::size_t most_before = 0;
};

} // namespace basilpath
