#include "repeating_hosts.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

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
    CHECK(hosts.repeats_since(hosts.time() - 10s) >=
          repeating_hosts::slack * 0.45 - 15 - 1);
    CHECK(hosts.busiest_window() <= repeating_hosts::slack);
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
    CHECK(hosts.busiest_window() <= repeating_hosts::slack);
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
    CHECK(hosts.busiest_window() <= repeating_hosts::slack);
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
    CHECK(hosts.busiest_window() <= repeating_hosts::slack);
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
    CHECK(hosts.busiest_window() <= repeating_hosts::slack);
}

} // namespace
