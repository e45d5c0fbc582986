#include "load/load_plan.hpp"
#include "load/load_run.hpp"
#include "load/oracle.hpp"
#include "load/run_report.hpp"
#include "version/document.hpp"
#include "version/index_version.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::load;

/// One service whose single leaf runs 100 requests per second, and two mixes of
/// 100 requests per second each for one second, one worth nine times the other.
struct double_load
{
    load_plan plan;
    document configuration;
    std::vector<arrival> arrivals;

    double_load()
    {
        this->plan.duration = milliseconds(1000);
        this->plan.targets = {10.0, 0.0};
        this->plan.mixes.resize(2);
        this->plan.mixes[0].value = worth(9.0);
        this->plan.mixes[0].service = service_name("s");
        this->plan.mixes[1].service = service_name("s");
        leaf& only = this->configuration.leaves[leaf_id("a")];
        only.id = leaf_id("a");
        const auto version = std::make_shared<index_version>();
        version->shards = {{shard_number(0), 1.0, {leaf_id("a")}}};
        this->configuration.services[service_name("s")].versions = {version};
        for (std::uint64_t number = 0; number < 200; ++number)
        {
            this->arrivals.push_back(
                {number, microseconds(number * 5'000), number % 2, "x", false});
        }
    }
};

TEST_CASE("the oracle serves the highest worth first, up to its capacity")
{
    double_load load;
    const double served =
        oracle_service(load.plan, load.configuration, load.arrivals,
                       microseconds(0), milliseconds(1000));
    CHECK(served > 0.9);
    CHECK(served < 0.93);
    load.configuration.leaves.at(leaf_id("a")).slots = 2;
    CHECK(oracle_service(load.plan, load.configuration, load.arrivals,
                         microseconds(0), milliseconds(1000)) == 1.0);
}

TEST_CASE("capacity is the inverse of the mean service time")
{
    const double_load load;
    const service& wanted = load.configuration.services.at(service_name("s"));
    CHECK(capacity_per_second(load.configuration, wanted, {10.0, 0.0}) ==
          Approx(100.0));
    CHECK(capacity_per_second(load.configuration, wanted, {10.0, 1.0}) ==
          Approx(60.653).epsilon(1e-3));
}

TEST_CASE("worth served below the oracle's share is a violation")
{
    double_load load;
    load.plan.bounds.oracle_share = 0.95;
    load.plan.warm_up = milliseconds(0);
    run_record run;
    for (const arrival& one : load.arrivals)
    {
        run.outcomes.push_back(std::make_shared<request_outcome>());
        run.outcomes.back()->scheduled = one;
        caller_answer answer;
        answer.code = one.mix == 0 ? 0U : 200U;
        answer.received = one.at + milliseconds(1);
        run.outcomes.back()->answers.push_back(answer);
    }
    CHECK(make_report(load.plan, run, &load.configuration, nullptr)
              .violations.empty());
    for (std::size_t number = 0; number < 40; number += 2)
    {
        run.outcomes[number]->answers.clear();
    }
    const run_report report =
        make_report(load.plan, run, &load.configuration, nullptr);
    REQUIRE(report.violations.size() == 1);
    CHECK(report.violations[0].check == "worth_below_oracle");
}

TEST_CASE("a run with requests that were not sent is a violation")
{
    load_plan plan;
    plan.mixes.resize(1);
    run_record run;
    run.unsent = 3;
    const run_report report = make_report(plan, run, nullptr, nullptr);
    REQUIRE(report.violations.size() == 1);
    CHECK(report.violations[0].check == "load_not_sent");
}

} // namespace
