/// The metrics of a process and their text exposition.
#pragma once

#include "process/counter.hpp"
#include "process/gauge.hpp"
#include "process/latency_histogram.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace basilpath
{

/// A label of a series, e.g. `class="valuation"`.
struct metric_label
{
    std::string name;
    std::string value;

    auto operator<=>(const metric_label&) const = default;
};

/// Labels of one series, in the order in which they are written.
using metric_labels = std::vector<metric_label>;

/// Series of metrics by name and labels. Names start with `basilpath_` and are
/// documented in docs/metrics.md; counters end in `_total`, histograms in
/// `_seconds`. References stay valid for the lifetime of the registry. Not
/// thread-safe.
class metrics_registry
{
public:
    metrics_registry() = default;
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Returns the series of this name and these labels, creating it if
    /// needed. A name has one metric type. Once a name has `series_limit`
    /// series, all further labels share one series with the label
    /// `overflow="true"`.
    counter& add_counter(std::string_view name, std::string_view help,
                         const metric_labels& labels = {});

    /// See `add_counter`.
    gauge& add_gauge(std::string_view name, std::string_view help,
                     const metric_labels& labels = {});

    /// See `add_counter`.
    latency_histogram& add_histogram(std::string_view name,
                                     std::string_view help,
                                     const metric_labels& labels = {});

    /// Returns all series in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string expose() const;

    /// Most series of one name, without the overflow series.
    static constexpr std::size_t series_limit = 500;

    /// Content type of `expose`.
    static constexpr std::string_view content_type =
        "text/plain; version=0.0.4";

private:
    using metric = std::variant<counter, gauge, latency_histogram>;

    /// All series of one name.
    struct family
    {
        std::string help;
        std::string type;
        std::map<metric_labels, metric> series;
    };

    template <class Metric>
    Metric& add(std::string_view name, std::string_view help,
                std::string_view type, const metric_labels& labels);

    std::map<std::string, family, std::less<>> families;
};

} // namespace basilpath
