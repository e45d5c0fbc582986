#include "node/process/host_selection.hpp"
#include "node/process/retry_budget.hpp"
#include "node/process/slack_division.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

constexpr microseconds step = 100ms;
constexpr milliseconds budget_window = 10s;
constexpr double slack = 230;
constexpr std::size_t domain_count = 5;
const service_name service("s");

// A deployment in which the strong hosts serve, and each host learns of the
// others' starts and losses late. All live hosts repeat calls as often as their
// budget allows.
class repeating_hosts
{
public:
    repeating_hosts(std::size_t count, std::size_t strong, std::uint64_t seed)
        : random(seed), hosts(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
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

    [[nodiscard]] std::size_t size() const
    {
        return this->hosts.size();
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
    // What a host learns of another one, and when.
    struct news
    {
        instant at{};
        bool alive = false;
    };

    struct host_state
    {
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
        const auto phase = (this->now - one.started).count() % 500'000;
        if (changed || phase == 0)
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
        cluster_state state;
        state.hosts.push_back(one.description);
        std::size_t live = 1;
        std::vector<bool> key(this->hosts.size());
        for (const auto& [other, alive] : one.sees)
        {
            const auto lost = one.lost.find(other);
            const bool counts = lost != one.lost.end() &&
                                this->now - lost->second < 2 * budget_window;
            live += alive || counts ? 1 : 0;
            key[other] = alive;
            if (alive)
            {
                state.hosts.push_back(this->hosts[other].description);
            }
        }
        const auto own = std::ranges::find(
            this->hosts, one.description.address,
            [](const host_state& host) { return host.description.address; });
        key[static_cast<std::size_t>(own - this->hosts.begin())] = true;
        const auto [found, added] = this->serving_by_view.try_emplace(key);
        if (added)
        {
            std::ranges::sort(state.hosts, {}, &member::address);
            state.most_hosts = 35;
            state.replica_domains = {failure_domain("0"), failure_domain("1")};
            for (const auto& [domain, region] : this->domains)
            {
                state.replica_domains.insert(domain);
            }
            found->second = serving_hosts(state, this->domains);
        }
        one.division->update(live, found->second, budget_window, this->now);
        one.budget->set_slack_share(one.division->share());
    }

    std::mt19937_64 random;
    std::vector<host_state> hosts;
    std::map<failure_domain, region_name> domains;
    std::map<std::vector<bool>, std::set<http_address>> serving_by_view;
    instant now{1h};
    std::vector<instant> repeats;
};

repeating_hosts started(std::size_t count, std::size_t strong,
                        std::uint64_t seed)
{
    repeating_hosts hosts(count, strong, seed);
    for (std::size_t i = 0; i < count; ++i)
    {
        hosts.start(i);
    }
    return hosts;
}

TEST_CASE("the hosts that serve may use most of the slack")
{
    const std::size_t count = GENERATE(7U, 30U, 95U);
    repeating_hosts hosts = started(count, 15, 1);
    hosts.run_for(40s);
    // Half of the slack is left for restarts, and each host rounds down.
    CHECK(hosts.repeats_since(hosts.time() - 10s) >= slack * 0.45 - 15 - 1);
    CHECK(hosts.busiest_window() <= slack);
}

TEST_CASE("the repeats of all hosts stay within the slack when all of them "
          "restart several times")
{
    const std::size_t count = GENERATE(2U, 7U, 30U, 95U);
    repeating_hosts hosts = started(count, 15, 2);
    hosts.run_for(30s);
    for (int restart = 0; restart < 4; ++restart)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            hosts.stop(i);
            hosts.start(i);
        }
        hosts.run_for(2s);
    }
    hosts.run_for(20s);
    CHECK(hosts.busiest_window() <= slack);
}

TEST_CASE("the repeats of all hosts stay within the slack while serving hosts "
          "are lost one after the other and weak ones take their place")
{
    const std::size_t count = GENERATE(20U, 95U);
    repeating_hosts hosts = started(count, 10, 3);
    hosts.run_for(30s);
    for (std::size_t i = 0; i < 10; ++i)
    {
        hosts.stop(i);
        hosts.run_for(1s);
    }
    hosts.run_for(30s);
    CHECK(hosts.busiest_window() <= slack);
}

TEST_CASE("the repeats of all hosts stay within the slack while both sides of "
          "a partition serve")
{
    const std::size_t first = GENERATE(1U, 5U, 15U, 40U);
    repeating_hosts hosts = started(60, 15, 4);
    hosts.run_for(30s);
    hosts.set_partition(first, true);
    hosts.run_for(50s);
    hosts.set_partition(first, false);
    hosts.run_for(20s);
    CHECK(hosts.busiest_window() <= slack);
}

TEST_CASE("the repeats of all hosts stay within the slack through random "
          "restarts, losses and partitions")
{
    const std::uint64_t seed = GENERATE(range(1U, 31U));
    repeating_hosts hosts(0, 0, 0);
    const std::size_t count = std::vector<std::size_t>{2, 7, 20, 50}[seed % 4];
    hosts = started(count, 1 + seed % 15, seed);
    hosts.run_for(5s);
    for (int event = 0; event < 25; ++event)
    {
        const std::size_t host = hosts.draw(count);
        const std::size_t most = hosts.draw(3) == 0 ? count : 3;
        switch (hosts.draw(4))
        {
        case 0:
            for (std::size_t i = host; i < std::min(count, host + most); ++i)
            {
                hosts.stop(i);
                hosts.start(i);
            }
            break;
        case 1:
            hosts.stop(host);
            break;
        case 2:
            hosts.start(host);
            break;
        default:
            hosts.set_partition(host, hosts.draw(2) == 0);
            break;
        }
        hosts.run_for(microseconds(1'000 * hosts.draw(4'000)));
    }
    INFO("seed " << seed);
    CHECK(hosts.busiest_window() <= slack);
}

} // namespace
