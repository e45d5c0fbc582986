/// What a load run sends, and when.
#pragma once

#include "version/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath::load
{

/// Requests of one class of one service, sent at one rate.
struct traffic_mix
{
    std::string name;
    service_name service;
    class_name request_class;
    worth value{1.0};

    /// Mean arrivals a second while the rate factor is 1.
    double rate = 100.0;

    milliseconds deadline{170};
    double least_coverage = 0.0;

    /// Whether the requests are non-idempotent and go to `/v1/execute`.
    bool execute = false;

    /// Whether the requests carry the mark that crashes a leaf.
    bool poison = false;

    /// Share of requests that ask again for one of a few subjects.
    double repeat_share = 0.0;

    /// Share of requests that the caller sends a second time, to another host,
    /// `resend_after` after the first and without waiting for its answer.
    double resend_share = 0.0;
    milliseconds resend_after{20};
};

/// From `at` on, all rates are multiplied by `factor`.
struct rate_step
{
    milliseconds at{0};
    double factor = 1.0;
};

/// A request that is posted to the stand-in's control address at `at`.
struct control_action
{
    milliseconds at{0};
    std::string path;
    std::string body;
};

/// A part of the run whose figures are given apart.
struct plan_window
{
    std::string name;
    milliseconds from{0};
    milliseconds until{0};
};

/// Service times of the targets, from which the oracle's capacity comes.
struct target_speed
{
    /// Median and log-normal spread; a median of 0 means no oracle.
    double service_ms = 0.0;
    double sigma = 0.4;
};

/// Bounds beyond those that always hold; negative for none.
struct plan_bounds
{
    /// Most requests sent to leaves beyond those needed, as a share.
    double extra_load = -1.0;

    /// Least worth-weighted service, as a share of the oracle's.
    double oracle_share = -1.0;

    /// Most leaves that one crashing request may cost.
    double crashes_per_request = 2.0;

    /// Most requests of a service's worthiest class that may be refused as
    /// overload while one of less worth is served.
    double worthiest_refused = -1.0;
};

/// One run. INI: section `[load]`, one section `[mix NAME]` for each mix, one
/// section `[step NAME]` for each step, `[action NAME]` for each action and
/// `[window NAME]` for each window; `[targets]` and `[bounds]`.
struct load_plan
{
    std::uint64_t seed = 1;
    milliseconds duration{5'000};

    /// Requests scheduled before this time are sent, checked, and left out of
    /// the latencies.
    milliseconds warm_up{500};

    std::vector<traffic_mix> mixes;
    std::vector<rate_step> steps;
    std::vector<control_action> actions;
    std::vector<plan_window> windows;
    target_speed targets;
    plan_bounds bounds;
};

/// Parses a plan; nothing, with the faults in `*reason`, when it has any.
[[nodiscard]] std::optional<load_plan> parse_load_plan(std::string_view bytes,
                                                       std::string* reason);

} // namespace basilpath::load
