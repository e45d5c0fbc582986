/// Hosts that call one replica which names a limit, in steps of virtual time.
#pragma once

#include "node/process/demand_meter.hpp"
#include "node/process/limit_bucket.hpp"
#include "node/process/limit_shares.hpp"
#include "node/process/settled_demand.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace basilpath::test
{

/// Each host sees the demands of the others with a delay, sends what its bucket
/// admits and gives up the rest.
class limited_cluster
{
public:
    static constexpr milliseconds step{10};
    static constexpr milliseconds update_interval{500};

    limited_cluster(std::size_t hosts, request_rate limit,
                    milliseconds view_delay, std::uint64_t seed)
        : limit(limit), view_delay(view_delay), random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i)
        {
            this->members.push_back(
                std::make_unique<host>(peer_address(fmt::format("{}:1", i))));
        }
    }

    /// Sets what all hosts together may send at once.
    void set_burst(const request_burst& at_once)
    {
        this->burst = at_once;
    }

    /// Sets whether hosts that start know the limit.
    void set_known_at_start(bool known)
    {
        this->known_at_start = known;
    }

    /// Sets the calls a second that a host would make.
    void set_demand(std::size_t host, double calls)
    {
        this->members.at(host)->calls = calls;
    }

    /// Stops a host; the others see it leave after the delay.
    void stop(std::size_t host)
    {
        this->members.at(host)->runs = false;
    }

    /// Starts a host that knows neither demands nor the limit.
    void start(std::size_t index)
    {
        const double calls = this->members.at(index)->calls;
        this->members.at(index) =
            std::make_unique<host>(peer_address(fmt::format("{}:1", index)));
        this->members.at(index)->calls = calls;
        this->members.at(index)->informed = this->known_at_start;
    }

    void run_for(milliseconds time)
    {
        for (milliseconds t{0}; t < time; t += step)
        {
            this->now += step;
            for (const auto& one : this->members)
            {
                this->advance(*one);
            }
        }
    }

    /// Returns the most requests in any window of this length after `from`.
    [[nodiscard]] std::size_t
    busiest_window(instant from,
                   microseconds length = std::chrono::seconds(4)) const
    {
        std::deque<instant> window;
        std::size_t most = 0;
        for (const instant at : this->arrivals)
        {
            if (at < from)
            {
                continue;
            }
            window.push_back(at);
            while (at - window.front() > length)
            {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    [[nodiscard]] std::size_t arrivals_after(instant from) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->arrivals, [from](instant at) { return at >= from; }));
    }

    instant now{};

private:
    static constexpr demand_group group{7};

    struct announcement
    {
        instant at{};
        std::vector<host_demand> demands;
    };

    struct host
    {
        explicit host(const peer_address& address)
            : address(address), shares(address)
        {
        }

        peer_address address;
        limit_shares shares;
        limit_bucket bucket;
        demand_meter meter;
        settled_demand settled;
        std::deque<announcement> announced;
        double calls = 0;
        bool runs = true;

        /// Whether an answer has named the limit.
        bool informed = true;
        instant updated{};
    };

    void advance(host& one)
    {
        if (!one.runs)
        {
            return;
        }
        if (this->now - one.updated >= update_interval ||
            one.updated == instant{})
        {
            this->update(one);
        }
        const double expected =
            one.calls * std::chrono::duration<double>(step).count();
        std::poisson_distribution<int> draw(expected);
        for (int left = expected > 0 ? draw(this->random) : 0; left > 0; --left)
        {
            one.meter.note(group, true, this->now);
            if (!one.informed || one.bucket.try_take(this->now))
            {
                this->arrivals.push_back(this->now);
                one.informed = true;
            }
        }
    }

    void update(host& one)
    {
        one.updated = this->now;
        one.announced.push_back(
            {this->now, one.meter.measure({group}, this->now)});
        one.settled.note(one.announced.back().demands, this->now);
        std::vector<demanding_host> sharers{{one.address, failure_domain("a"),
                                             one.announced.back().demands,
                                             true}};
        for (const auto& other : this->members)
        {
            if (other.get() != &one)
            {
                sharers.push_back({other->address, failure_domain("a"),
                                   this->seen_demands(*other), true});
            }
        }
        one.shares.set_hosts(std::move(sharers), one.settled.lowest(), 1);
        const limit_share share =
            one.shares.share_of({leaf_id("i-1"), failure_domain("a"), group,
                                 this->limit, this->burst});
        one.bucket.set(share.rate, share.depth, this->now);
    }

    // The last demands that a host announced at least `view_delay` ago.
    [[nodiscard]] std::vector<host_demand> seen_demands(const host& other) const
    {
        const auto& list = other.announced;
        const auto seen = std::ranges::find_if(
            list.rbegin(), list.rend(),
            [this](const announcement& one)
            { return this->now - one.at >= this->view_delay; });
        return seen == list.rend() ? std::vector<host_demand>{} : seen->demands;
    }

    request_rate limit;
    request_burst burst;
    bool known_at_start = false;
    milliseconds view_delay;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<host>> members;
    std::vector<instant> arrivals;
};

} // namespace basilpath::test
