#include "process/burn_class.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace basilpath
{

namespace
{

using nlohmann::json;

json counts_to_json(const burn_counts& counts)
{
    return {{"total", counts.total}, {"served", counts.served}};
}

// Reads counts; throws a JSON exception when they are not of the form.
burn_counts counts_from_json(const json& value)
{
    const burn_counts counts{value.at("total").get<std::uint64_t>(),
                             value.at("served").get<std::uint64_t>()};
    return {counts.total, std::min(counts.served, counts.total)};
}

json latency_to_json(const latency_histogram& latency)
{
    json bins = json::array();
    for (const latency_bin& bin : latency.bins())
    {
        bins.push_back({bin.index, bin.count});
    }
    return {{"sum_us", latency.sum().count()}, {"bins", std::move(bins)}};
}

// Reads a histogram; false when a bin is off the scale, and an exception when
// the value is not of the form.
bool latency_from_json(const json& value, latency_histogram& latency)
{
    std::vector<latency_bin> bins;
    for (const json& bin : value.at("bins"))
    {
        bins.push_back({bin.at(0).get<int>(), bin.at(1).get<std::uint64_t>()});
    }
    return latency.add_bins(bins, std::chrono::microseconds(
                                      value.at("sum_us").get<std::int64_t>()));
}

// Reads a class; throws a JSON exception when the value is not of the form.
std::optional<burn_class> read_class(const json& value)
{
    burn_class one;
    one.name = value.at("class").get<std::string>();
    one.service = value.at("service").get<std::string>();
    one.worth = value.at("worth").get<double>();
    one.objective_ms = value.at("objective_ms").get<double>();
    one.objective_share = value.at("objective_share").get<double>();
    for (std::size_t i = 0; i < burn_windows.size(); ++i)
    {
        one.windows[i] = counts_from_json(value.at("windows").at(i));
    }
    one.lifetime = counts_from_json(value.at("lifetime"));
    for (const json& code : value.at("codes"))
    {
        one.codes[code.at(0).get<std::uint32_t>()] +=
            code.at(1).get<std::uint64_t>();
    }
    for (std::size_t i = 0; i < coverage_steps; ++i)
    {
        one.coverage[i] = value.at("coverage").at(i).get<std::uint64_t>();
    }
    const bool sound = one.worth > 0.0 && one.objective_share > 0.0 &&
                       one.objective_share < 1.0 &&
                       latency_from_json(value.at("latency"), one.latency);
    return sound ? std::optional(std::move(one)) : std::nullopt;
}

} // namespace

void burn_class::merge(const burn_class& other)
{
    this->worth = std::max(this->worth, other.worth);
    this->objective_ms = std::max(this->objective_ms, other.objective_ms);
    this->objective_share =
        std::max(this->objective_share, other.objective_share);
    for (std::size_t i = 0; i < burn_windows.size(); ++i)
    {
        this->windows[i] += other.windows[i];
    }
    this->lifetime += other.lifetime;
    for (const auto& [code, count] : other.codes)
    {
        this->codes[code] += count;
    }
    std::ranges::transform(this->coverage, other.coverage,
                           this->coverage.begin(), std::plus());
    this->latency.merge(other.latency);
}

json to_json(const burn_class& one)
{
    json windows = json::array();
    std::ranges::transform(one.windows, std::back_inserter(windows),
                           counts_to_json);
    json codes = json::array();
    for (const auto& [code, count] : one.codes)
    {
        codes.push_back({code, count});
    }
    return {{"class", one.name},
            {"service", one.service},
            {"worth", one.worth},
            {"objective_ms", one.objective_ms},
            {"objective_share", one.objective_share},
            {"windows", std::move(windows)},
            {"lifetime", counts_to_json(one.lifetime)},
            {"codes", std::move(codes)},
            {"coverage", one.coverage},
            {"latency", latency_to_json(one.latency)}};
}

std::optional<burn_class> burn_class_from_json(const json& value)
{
    try
    {
        return read_class(value);
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace basilpath
