#include "process/directory.hpp"

#include "process/system_state.hpp"
#include "version/ownership.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <sstream>

namespace basilpath
{

namespace
{

constexpr milliseconds keep_least{15'000};
constexpr std::uint64_t keep_spread_ms = 10'000;
constexpr double far_weight = 0.25;
constexpr double least_weight = 0.05;

/// A host with the random key by which it is drawn.
struct drawn_host
{
    const host* candidate = nullptr;
    double weight = 0.0;
    double key = 0.0;
};

// Returns the hosts that may be named: those of the service, or all live ones.
std::vector<const host*> candidates(const system_state& state,
                                    const directory_query& query)
{
    const service* const wanted =
        state.configuration ? state.configuration->find_service(query.service)
                            : nullptr;
    if (wanted != nullptr)
    {
        return hosts_of_service(*wanted, *state.hosts, state.dead_hosts);
    }
    service all;
    all.owner_hosts = static_cast<std::uint32_t>(state.hosts->hosts.size());
    return hosts_of_service(all, *state.hosts, state.dead_hosts);
}

// Weighs a host: less when it is far from the caller or loaded.
double weigh(const host& one, const directory_query& query,
             const std::map<host_id, double>& load)
{
    const auto known = load.find(one.id);
    const double used = known == load.end() ? 0.0 : known->second;
    const bool near = query.domain.value.empty() || one.domain == query.domain;
    return std::max(least_weight, 1.0 - used) * (near ? 1.0 : far_weight);
}

// Draws a number between 0 and 1, never 0.
double draw(const std::function<std::uint64_t()>& random)
{
    constexpr double steps = 9007199254740992.0;
    return (static_cast<double>(random() >> 11U) + 1.0) / (steps + 1.0);
}

} // namespace

directory choose_directory(const system_state& state,
                           const directory_query& query,
                           const std::map<host_id, double>& load,
                           const std::function<std::uint64_t()>& random)
{
    directory answer;
    answer.keep = keep_least + milliseconds(random() % keep_spread_ms);
    if (!state.hosts)
    {
        return answer;
    }
    std::vector<drawn_host> drawn;
    for (const host* const one : candidates(state, query))
    {
        // Weighted sampling without replacement: the largest keys win.
        const double weight = weigh(*one, query, load);
        drawn.push_back({one, weight, std::pow(draw(random), 1.0 / weight)});
    }
    std::ranges::sort(drawn, std::ranges::greater{}, &drawn_host::key);
    drawn.resize(std::min(drawn.size(), directory_size));
    std::ranges::transform(
        drawn, std::back_inserter(answer.hosts),
        [](const drawn_host& one) {
            return directory_host{one.candidate->callers, one.weight};
        });
    return answer;
}

std::string to_json_text(const directory& answer)
{
    const auto hosts = std::views::transform(
        answer.hosts,
        [](const directory_host& one)
        {
            return fmt::format(R"({{"address":"{}","weight":{:.3f}}})",
                               one.address.value, one.weight);
        });
    const auto tokens =
        std::views::transform(answer.tokens, [](const std::string& token)
                              { return fmt::format("\"{}\"", token); });
    return fmt::format(R"({{"hosts":[{}],"keep_ms":{},"tokens":[{}]}})",
                       fmt::join(hosts, ","), answer.keep.count(),
                       fmt::join(tokens, ","));
}

directory_query parse_directory_query(const std::string& query)
{
    directory_query parsed;
    std::istringstream parts(query);
    for (std::string part; std::getline(parts, part, '&');)
    {
        if (part.starts_with("domain="))
        {
            parsed.domain = failure_domain(part.substr(7));
        }
        else if (part.starts_with("service="))
        {
            parsed.service = service_name(part.substr(8));
        }
    }
    return parsed;
}

} // namespace basilpath
