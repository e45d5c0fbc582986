#include "process/metrics_registry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <iterator>

namespace basilpath
{

namespace
{

// Escapes a label value for the text format.
std::string escape(std::string_view value)
{
    std::string text;
    for (const char c : value)
    {
        if (c == '\\' || c == '"')
        {
            text += '\\';
        }
        text += c == '\n' ? std::string_view("\\n") : std::string_view(&c, 1);
    }
    return text;
}

// Formats labels in braces; empty when there are none.
std::string format_labels(const metric_labels& labels)
{
    std::string text;
    for (const metric_label& label : labels)
    {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "{" : ",", label.name,
                            escape(label.value));
    }
    return text.empty() ? text : text + "}";
}

double to_seconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

void expose_series(std::string& text, std::string_view name,
                   const metric_labels& labels, const counter& one)
{
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", name,
                   format_labels(labels), one.value());
}

void expose_series(std::string& text, std::string_view name,
                   const metric_labels& labels, const gauge& one)
{
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", name,
                   format_labels(labels), one.value());
}

void expose_series(std::string& text, std::string_view name,
                   const metric_labels& labels, const latency_histogram& one)
{
    const auto write_bucket = [&](std::string edge, std::uint64_t count)
    {
        metric_labels with_edge = labels;
        with_edge.push_back({"le", std::move(edge)});
        fmt::format_to(std::back_inserter(text), "{}_bucket{} {}\n", name,
                       format_labels(with_edge), count);
    };
    for (const latency_bucket& bucket : one.buckets())
    {
        write_bucket(fmt::to_string(to_seconds(bucket.below)), bucket.count);
    }
    write_bucket("+Inf", one.count());
    fmt::format_to(std::back_inserter(text), "{}_sum{} {}\n", name,
                   format_labels(labels), to_seconds(one.sum()));
    fmt::format_to(std::back_inserter(text), "{}_count{} {}\n", name,
                   format_labels(labels), one.count());
}

} // namespace

counter& metrics_registry::add_counter(std::string_view name,
                                       std::string_view help,
                                       const metric_labels& labels)
{
    assert(name.ends_with("_total"));
    return this->add<counter>(name, help, "counter", labels);
}

gauge& metrics_registry::add_gauge(std::string_view name, std::string_view help,
                                   const metric_labels& labels)
{
    return this->add<gauge>(name, help, "gauge", labels);
}

latency_histogram& metrics_registry::add_histogram(std::string_view name,
                                                   std::string_view help,
                                                   const metric_labels& labels)
{
    assert(name.ends_with("_seconds"));
    return this->add<latency_histogram>(name, help, "histogram", labels);
}

std::string metrics_registry::expose() const
{
    std::string text;
    for (const auto& [name, one] : this->families)
    {
        fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n",
                       name, one.help, name, one.type);
        for (const auto& [labels, series] : one.series)
        {
            std::visit([&, &name = name, &labels = labels](const auto& metric)
                       { expose_series(text, name, labels, metric); },
                       series);
        }
    }
    return text;
}

template <class Metric>
Metric& metrics_registry::add(std::string_view name, std::string_view help,
                              std::string_view type,
                              const metric_labels& labels)
{
    assert(name.starts_with("basilpath_"));
    auto found = this->families.find(name);
    if (found == this->families.end())
    {
        found = this->families
                    .emplace(std::string(name),
                             family{std::string(help), std::string(type), {}})
                    .first;
    }
    family& owner = found->second;
    assert(owner.type == type);
    const bool full =
        owner.series.size() >= series_limit && !owner.series.contains(labels);
    const metric_labels& kept =
        full ? metric_labels{{"overflow", "true"}} : labels;
    return std::get<Metric>(
        owner.series.try_emplace(kept, Metric()).first->second);
}

} // namespace basilpath
