/// Service-level burn of one process: what callers were given, by class.
#pragma once

#include "process/burn_class.hpp"
#include "process/burn_window.hpp"
#include "request/result_code.hpp"
#include "version/request_class.hpp"

#include <chrono>
#include <map>
#include <string>

namespace basilpath
{

/// How one request ended.
struct burn_outcome
{
    result_code code = result_code::complete;
    basilpath::coverage coverage{0.0};

    /// From the arrival of the request to its answer.
    microseconds latency{0};
};

/// Counts every request that named a class. Used on one thread. Times are
/// monotonic, since any fixed moment.
class burn_tracker
{
public:
    /// `scale` shortens the windows of the report, e.g. 1/60 for tests.
    explicit burn_tracker(microseconds start, double scale = 1.0);

    /// Counts one request. It counts as served when it was answered complete
    /// (or with its stored outcome) within the objective of its class. What
    /// the caller got wrong, and what it left before the objective had passed,
    /// is listed by code but counts neither way.
    void record(const request_class& owner, const burn_outcome& outcome,
                microseconds now);

    /// Body of `GET /v1/burn`, a JSON object.
    [[nodiscard]] std::string to_json(microseconds now) const;

private:
    /// Windows and totals of one class.
    struct tracked_class
    {
        burn_window window;
        burn_class totals;
    };

    tracked_class& find(const request_class& owner);

    microseconds start;
    double scale;
    std::map<class_name, tracked_class> classes;
};

} // namespace basilpath
