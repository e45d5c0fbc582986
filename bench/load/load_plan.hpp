/// Plan of a load run: requests, rates, actions and bounds.
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

    /// Mean arrivals per second at a rate factor of 1.
    double rate = 100.0;

    milliseconds deadline{170};
    double least_coverage = 0.0;

    /// Whether the requests are non-idempotent and go to `/v1/execute`.
    bool execute = false;

    /// Whether the requests carry the field that makes a leaf crash.
    bool poison = false;

    /// Share of requests that repeat one of a few subjects.
    double repeat_share = 0.0;

    /// Share of requests that the caller sends a second time, to another host,
    /// `resend_after` after the first and without waiting for its answer.
    double resend_share = 0.0;
    milliseconds resend_after{20};
};

/// A rate factor that multiplies all rates from `at` on.
struct rate_step
{
    milliseconds at{0};
    double factor = 1.0;
};

/// A request posted to the stand-in's control address at `at`.
struct control_action
{
    milliseconds at{0};
    std::string path;
    std::string body;
};

/// A part of the run that is reported separately.
struct plan_window
{
    std::string name;
    milliseconds from{0};
    milliseconds until{0};
};

/// Service times of the targets, which determine the oracle's capacity.
struct target_speed
{
    /// Median and sigma of the log-normal service time; a median of 0 disables
    /// the oracle.
    double service_ms = 0.0;
    double sigma = 0.4;
};

/// Bounds checked besides those that always apply; negative disables one.
struct plan_bounds
{
    /// Maximum share of requests sent to leaves beyond those needed.
    double extra_load = -1.0;

    /// Minimum worth served, as a share of the oracle's.
    double oracle_share = -1.0;

    /// Maximum number of leaf crashes per crashing request.
    double crashes_per_request = 2.0;

    /// Maximum number of requests of a service's mix of highest worth refused
    /// as overload while one of lower worth is served.
    double worthiest_refused = -1.0;
};

/// One run. INI file with a section `[load]`, one section `[mix NAME]` for each
/// mix, one section `[step NAME]` for each step, `[action NAME]` for each
/// action and
/// `[window NAME]` for each window; `[targets]` and `[bounds]`.
struct load_plan
{
    std::uint64_t seed = 1;
    milliseconds duration{5'000};

    /// Requests scheduled before this time are sent and checked, but excluded
    /// from the figures of the run.
    milliseconds warm_up{500};

    std::vector<traffic_mix> mixes;
    std::vector<rate_step> steps;
    std::vector<control_action> actions;
    std::vector<plan_window> windows;
    target_speed targets;
    plan_bounds bounds;
};

/// Parses a plan. On errors, returns nullopt and lists them in `*reason`.
[[nodiscard]] std::optional<load_plan> parse_load_plan(std::string_view bytes,
                                                       std::string* reason);

} // namespace basilpath::load
