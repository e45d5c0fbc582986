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

/// The limit grows by one per round of requests while waits are short and the
/// limit is in use. When waits are long it falls at once to what, by Little's
/// law, would wait no longer than the target; requests admitted before the fall
/// teach it nothing more. It never stands far above what was in use lately, so
/// that a sudden crest does not find it wide open.
class wait_limit
{
public:
    /// Requests that may always be under way while waits are short, however few
    /// there were lately, where those that find the limit reached can wait.
    static constexpr double usual_room = 6.0;

    explicit wait_limit(double least_room = usual_room);

    [[nodiscard]] std::size_t limit() const;

    void learn(const admission_sample& sample, microseconds now);

private:
    void fall(const admission_sample& sample, microseconds now);
    void note_use(std::size_t in_progress, microseconds now);

    double least_room;
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
