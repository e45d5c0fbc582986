/// How a large change spreads between hosts over narrow links.
#include "node/process/view_offers.hpp"
#include "node/process/view_send_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

/// From the acknowledgement of a version until it must be in force.
constexpr microseconds apply_time = 3s;

constexpr double link_mbps = 14;
constexpr double bytes_per_second = link_mbps * 125'000;
constexpr microseconds step = 5ms;
constexpr milliseconds busy_delay = 200ms;

// Hosts that a change is announced to at once, and one more each round.
constexpr std::size_t fanout = 7;
constexpr microseconds probe_interval = 200ms;

const store_position before{store_era(1), 1};
const store_position change{store_era(1), 2};

/// Hosts that fetch one change from each other. A link is shared equally by the
/// transfers that its host sends.
class spreading_hosts
{
public:
    spreading_hosts(std::size_t count, double bytes, std::uint64_t seed)
        : hosts(count), bytes(bytes), generator(seed)
    {
    }

    /// Returns when the last host has the change, up to 30 seconds after the
    /// first two.
    microseconds spread()
    {
        this->receive(0);
        this->receive(1);
        const microseconds end = 30s;
        while (this->holders < this->hosts.size() && this->elapsed < end)
        {
            this->elapsed += step;
            this->transfer();
            if (this->elapsed % probe_interval < step)
            {
                this->probe();
            }
            this->fetch();
        }
        return this->elapsed;
    }

private:
    struct sending
    {
        std::size_t to;
        instant begin;
        double left;
    };

    struct host
    {
        bool holds = false;
        bool fetching = false;
        view_offers offers;
        view_send_limit limit{link_mbps};
        std::vector<sending> sendings;
    };

    [[nodiscard]] instant now() const
    {
        return instant(1s + this->elapsed);
    }

    [[nodiscard]] static peer_address address_of(std::size_t number)
    {
        return peer_address(std::to_string(number));
    }

    [[nodiscard]] std::size_t any_host()
    {
        return this->generator() % this->hosts.size();
    }

    void offer(std::size_t from)
    {
        const std::size_t to = this->any_host();
        if (!this->hosts[to].holds)
        {
            this->hosts[to].offers.note(address_of(from), change, this->now());
        }
    }

    void receive(std::size_t number)
    {
        this->hosts[number].holds = true;
        this->hosts[number].fetching = false;
        ++this->holders;
        for (std::size_t i = 0; i < fanout; ++i)
        {
            this->offer(number);
        }
    }

    void probe()
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i)
        {
            if (this->hosts[i].holds)
            {
                this->offer(i);
            }
        }
    }

    void fetch()
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i)
        {
            host& one = this->hosts[i];
            if (one.holds || one.fetching || !one.offers.next_time(before))
            {
                continue;
            }
            const auto taken = one.offers.take(this->now(), this->generator());
            if (!taken)
            {
                continue;
            }
            host& from = this->hosts[std::stoul(taken->from.value)];
            const auto wait = from.limit.reserve(
                static_cast<std::size_t>(this->bytes), this->now());
            if (!wait)
            {
                one.offers.defer(taken->from, change, this->now() + busy_delay);
                continue;
            }
            one.fetching = true;
            from.sendings.push_back({i, this->now() + *wait, this->bytes});
        }
    }

    void transfer()
    {
        std::vector<std::size_t> received;
        for (host& one : this->hosts)
        {
            const auto active =
                std::ranges::count_if(one.sendings, [this](const sending& each)
                                      { return each.begin <= this->now(); });
            const double part = bytes_per_second *
                                std::chrono::duration<double>(step).count() /
                                static_cast<double>(std::max(active, 1L));
            for (sending& each : one.sendings)
            {
                each.left -= each.begin <= this->now() ? part : 0;
                if (each.left <= 0)
                {
                    received.push_back(each.to);
                }
            }
            std::erase_if(one.sendings,
                          [](const sending& each) { return each.left <= 0; });
        }
        for (const std::size_t number : received)
        {
            this->receive(number);
        }
    }

    std::vector<host> hosts;
    double bytes;
    std::mt19937_64 generator;
    microseconds elapsed{0};
    std::size_t holders = 0;
};

// Guards against a version that comes into force late because many hosts fetch
// it from few: of configApplyMs, 3 s, half is for finding that a reader is
// lost.
TEST_CASE("a large configuration spreads in time over narrow links")
{
    const std::size_t count = GENERATE(9, 95, 300);
    const std::uint64_t seed = GENERATE(range(1, 6));
    // Packed, the largest value of the store, and a quarter of it unpacked.
    const double bytes = GENERATE(130'000, 262'144);
    CAPTURE(count, seed, bytes);
    spreading_hosts all(count, bytes, seed);
    CHECK(all.spread() < apply_time);
}

// The largest value of the store, if packing does not shorten it. The
// deployments with such links have a longer time.
TEST_CASE("the largest value spreads in time over narrow links")
{
    constexpr microseconds long_apply_time = 5s;
    const std::uint64_t seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    spreading_hosts all(95, 1'048'576, seed);
    CHECK(all.spread() < long_apply_time);
}

} // namespace
