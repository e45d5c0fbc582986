/// How the requests of a route are split among services.
#include "node/process/request_split.hpp"
#include "node_session_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

const std::array<service_name, 3> services = {
    service_name("x"), service_name("y"), service_name("z")};

std::vector<split_part> parts_of(const std::array<double, 3>& weights)
{
    std::vector<split_part> parts;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        parts.push_back({services.at(i), weights.at(i)});
    }
    return parts;
}

/// Two routes, both split among the services x, y and z.
std::shared_ptr<const route_table>
split_table(std::uint64_t version, const std::array<double, 3>& weights)
{
    std::vector<route> routes;
    for (const std::string name : {"first", "second"})
    {
        route one;
        one.name = name;
        one.host = "h";
        one.prefix = "/" + name + "/";
        one.idempotent = true;
        one.timeout = 1500ms;
        one.objective = 100ms;
        one.parts = parts_of(weights);
        routes.push_back(one);
    }
    return std::make_shared<const route_table>(
        document_number(version), routes,
        std::map<service_name, service_rule>{}, caller_limits{});
}

/// Sends requests one after the other and counts them by service.
class split_fixture
{
public:
    split_fixture()
    {
        for (const service_name& one : services)
        {
            this->node.targets.add(one.value, one.value);
        }
        this->node.targets.behave = [this](const target_call& call, std::size_t)
        {
            ++this->runs[call.to.value];
            return good_answer(call.to.value);
        };
    }

    void set_weights(const std::array<double, 3>& weights)
    {
        this->node.queries.set_routes(split_table(++this->version, weights));
    }

    std::map<std::string, std::size_t> send(std::size_t count,
                                            const std::string& path)
    {
        this->runs.clear();
        for (std::size_t i = 0; i < count; ++i)
        {
            this->node.start(path);
            this->time += 20ms;
            this->node.run.run_until(this->time);
        }
        return this->runs;
    }

private:
    node_session_fixture node;
    std::uint64_t version = 0;
    milliseconds time{0};
    std::map<std::string, std::size_t> runs;
};

// Guards against a service that goes on running requests after a version of
// the configuration took its weight to zero.
TEST_CASE("a service without weight runs no request, whatever ran before")
{
    split_fixture host;
    host.set_weights({34, 33, 33});
    const std::size_t before = GENERATE(0, 1, 2, 50, 98);
    host.send(before, "/first/x");
    host.set_weights({0.5, 0.5, 0});
    auto runs = host.send(60, "/first/x");
    CHECK(runs["z"] == 0);
    CHECK(std::max(runs["x"], runs["y"]) <= 33);
}

// Guards against routes that take each other's turns.
TEST_CASE("routes that are split among the same services do not affect each "
          "other")
{
    split_fixture host;
    host.set_weights({1, 1, 0});
    std::map<std::string, std::size_t> first;
    for (int i = 0; i < 30; ++i)
    {
        for (const auto& [service, count] : host.send(1, "/first/x"))
        {
            first[service] += count;
        }
        host.send(1, "/second/x");
    }
    CHECK(first["x"] >= 13);
    CHECK(first["x"] <= 17);
}

std::array<std::size_t, 3> count_runs(request_split& split,
                                      std::span<const split_part> parts,
                                      std::size_t count)
{
    std::array<std::size_t, 3> runs{};
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto at = std::ranges::find(services, split.next(parts));
        ++runs.at(static_cast<std::size_t>(at - services.begin()));
    }
    return runs;
}

TEST_CASE("each part gets its share of a run of requests")
{
    std::mt19937_64 random(5);
    const std::array<double, 3> weights =
        GENERATE(as<std::array<double, 3>>{}, std::array{34.0, 33.0, 33.0},
                 std::array{0.5, 0.5, 0.0}, std::array{0.9, 0.0, 0.1},
                 std::array{1e308, 1e308, 1e308}, std::array{0.0, 0.0, 0.0});
    const double largest = *std::ranges::max_element(weights);
    std::array<double, 3> shares{};
    std::ranges::transform(weights, shares.begin(),
                           [largest](double one)
                           { return largest > 0 ? one / largest : 1.0; });
    const double total = std::accumulate(shares.begin(), shares.end(), 0.0);
    constexpr std::size_t count = 300;
    for (int host = 0; host < 20; ++host)
    {
        request_split split(random());
        const auto runs = count_runs(split, parts_of(weights), count);
        for (std::size_t i = 0; i < runs.size(); ++i)
        {
            const double expected = shares.at(i) / total * count;
            CHECK(std::abs(static_cast<double>(runs.at(i)) - expected) < 5);
            CHECK((shares.at(i) > 0 || runs.at(i) == 0));
        }
    }
}

// Guards against hosts that all send their first requests to the same part:
// each of many hosts gets few requests between two versions.
TEST_CASE("many hosts with few requests each keep to the weights together")
{
    std::mt19937_64 random(7);
    const std::vector<split_part> parts = parts_of({34, 33, 33});
    std::array<std::size_t, 3> runs{};
    constexpr std::size_t hosts = 300;
    for (std::size_t host = 0; host < hosts; ++host)
    {
        request_split split(random());
        const auto own = count_runs(split, parts, 1);
        std::ranges::transform(runs, own, runs.begin(), std::plus<>());
    }
    for (const std::size_t one : runs)
    {
        const double share = static_cast<double>(one) / hosts;
        CHECK(std::abs(share - 1.0 / 3) < 0.1);
    }
}

} // namespace
