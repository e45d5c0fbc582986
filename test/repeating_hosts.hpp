/// Simulates the repeats of all hosts of a deployment.
#pragma once

#include "node/process/host_selection.hpp"
#include "node/process/retry_budget.hpp"
#include "node/process/slack_division.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <vector>

namespace basilpath::test
{

/// A deployment in which the strong hosts serve, and each host learns of the
/// others' starts and losses late. All live hosts repeat calls as often as
/// their budget allows.
class repeating_hosts
{
public:
    static constexpr milliseconds budget_window{10'000};
    static constexpr double slack = 230;

    repeating_hosts(std::size_t count, std::size_t strong, std::uint64_t seed)
        : random(seed), hosts(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->hosts[i].number = i;
            member& one = this->hosts[i].description;
            one.address = peer_address(fmt::format("{}:1", i));
            one.callers = http_address(fmt::format("{}:2", i));
            one.domain = failure_domain(std::to_string(i % domain_count));
            one.ready = true;
            one.processor_share = i < strong ? 0.5 : 0.12;
        }
        for (std::size_t i = 0; i < domain_count; ++i)
        {
            this->domains[failure_domain(std::to_string(i))] = region_name("r");
        }
    }

    // Starts a process that knows no other host yet.
    void start(std::size_t host)
    {
        host_state& one = this->hosts[host];
        one.running = true;
        one.started = this->now;
        one.budget = std::make_unique<retry_budget>(
            repeat_bound{0.0, slack, budget_window});
        one.division = std::make_unique<slack_division>(one.description.callers,
                                                        this->now);
        for (std::size_t i = 0; i < this->hosts.size(); ++i)
        {
            one.sees[i] = false;
            this->learn(host, i, this->hosts[i].running, 1'000);
            this->learn(i, host, true, 1'000);
        }
    }

    // Ends a process or cuts its power; the others miss it within seconds.
    void stop(std::size_t host)
    {
        this->hosts[host].running = false;
        for (std::size_t i = 0; i < this->hosts.size(); ++i)
        {
            this->learn(i, host, false, 2'000);
        }
    }

    // Partitions the hosts below `first` from the others, or rejoins them.
    void set_partition(std::size_t first, bool parted)
    {
        for (std::size_t i = 0; i < first; ++i)
        {
            for (std::size_t j = first; j < this->hosts.size(); ++j)
            {
                this->learn(i, j, !parted && this->hosts[j].running, 2'000);
                this->learn(j, i, !parted && this->hosts[i].running, 2'000);
            }
        }
    }

    void run_for(microseconds time)
    {
        for (const instant end = this->now + time; this->now < end;
             this->now += step)
        {
            for (host_state& one : this->hosts)
            {
                if (one.running)
                {
                    this->run_step(one);
                }
            }
        }
    }

    [[nodiscard]] std::size_t draw(std::size_t below)
    {
        return this->random() % below;
    }

    // The repeats of all hosts in the window with the most.
    [[nodiscard]] std::size_t busiest_window() const
    {
        std::size_t most = 0;
        for (auto first = this->repeats.begin(); first != this->repeats.end();
             ++first)
        {
            const auto last =
                std::upper_bound(first, this->repeats.end(),
                                 *first + budget_window - microseconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    [[nodiscard]] std::size_t repeats_since(instant start) const
    {
        return static_cast<std::size_t>(
            this->repeats.end() -
            std::ranges::lower_bound(this->repeats, start));
    }

    [[nodiscard]] instant time() const
    {
        return this->now;
    }

private:
    static constexpr microseconds step{100'000};

    // How often a host updates its share when nothing changes.
    static constexpr microseconds update_interval{500'000};

    static constexpr std::size_t domain_count = 5;

    // Most hosts that serve, by the connection limit of the replicas.
    static constexpr std::size_t most_serving = 35;

    // What a host learns of another one, and when.
    struct news
    {
        instant at{};
        bool alive = false;
    };

    struct host_state
    {
        std::size_t number = 0;
        member description;
        bool running = false;
        instant started{};
        std::unique_ptr<retry_budget> budget;
        std::unique_ptr<slack_division> division;
        std::map<std::size_t, news> pending;
        std::map<std::size_t, bool> sees;
        std::map<std::size_t, instant> lost;
    };

    void learn(std::size_t host, std::size_t other, bool alive,
               std::size_t most_ms)
    {
        if (host != other)
        {
            this->hosts[host].pending[other] = {
                this->now + microseconds(1'000 * this->draw(most_ms)), alive};
        }
    }

    void run_step(host_state& one)
    {
        bool changed = false;
        std::erase_if(one.pending,
                      [&](const auto& entry)
                      {
                          const auto& [other, told] = entry;
                          if (told.at > this->now)
                          {
                              return false;
                          }
                          if (one.sees[other] && !told.alive)
                          {
                              one.lost[other] = this->now;
                          }
                          one.sees[other] = told.alive;
                          changed = true;
                          return true;
                      });
        const microseconds age = this->now - one.started;
        if (changed || age % update_interval == microseconds(0))
        {
            this->update(one);
        }
        while (one.budget->try_spend(service, this->now))
        {
            this->repeats.push_back(this->now);
        }
    }

    void update(host_state& one)
    {
        const auto live =
            1 + std::ranges::count_if(
                    one.sees,
                    [&](const auto& entry)
                    {
                        const auto& [other, alive] = entry;
                        const auto lost = one.lost.find(other);
                        return alive ||
                               (lost != one.lost.end() &&
                                this->now - lost->second < 2 * budget_window);
                    });
        one.division->update(static_cast<std::size_t>(live),
                             this->serving_seen_by(one), budget_window,
                             this->now);
        one.budget->set_slack_share(one.division->share());
    }

    // Returns the hosts that serve by this host's view. Hosts with the same
    // view share the result.
    const std::set<http_address>& serving_seen_by(const host_state& one)
    {
        std::set<std::size_t> view{one.number};
        for (const auto& [other, alive] : one.sees)
        {
            if (alive)
            {
                view.insert(other);
            }
        }
        const auto [found, added] = this->serving_by_view.try_emplace(view);
        if (added)
        {
            cluster_state state;
            state.most_hosts = most_serving;
            std::ranges::transform(view, std::back_inserter(state.hosts),
                                   [this](std::size_t other)
                                   { return this->hosts[other].description; });
            std::ranges::copy(this->domains | std::views::keys,
                              std::inserter(state.replica_domains,
                                            state.replica_domains.end()));
            found->second = serving_hosts(state, this->domains);
        }
        return found->second;
    }

    service_name service{"s"};
    std::mt19937_64 random;
    std::vector<host_state> hosts;
    std::map<failure_domain, region_name> domains;
    std::map<std::set<std::size_t>, std::set<http_address>> serving_by_view;
    instant now{std::chrono::hours(1)};
    std::vector<instant> repeats;
};

} // namespace basilpath::test
