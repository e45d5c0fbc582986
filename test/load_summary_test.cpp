#include "load/load_plan.hpp"
#include "load/run_summary.hpp"
#include "request/result_code.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::load;

// Returns a request scheduled at 1 s and answered with `code` after `latency`.
std::shared_ptr<request_outcome> outcome(result_code code, milliseconds latency,
                                         double coverage = 1.0)
{
    auto made = std::make_shared<request_outcome>();
    made->scheduled.at = milliseconds(1000);
    caller_answer answer;
    answer.transport = http_outcome::answered;
    answer.code = static_cast<std::uint32_t>(code);
    answer.received = milliseconds(1000) + latency;
    answer.reported_coverage = coverage;
    made->answers.push_back(answer);
    return made;
}

TEST_CASE("a request is served if it is complete within its deadline")
{
    load_plan plan;
    plan.mixes.resize(1);
    plan.mixes[0].deadline = milliseconds(100);
    auto unanswered = std::make_shared<request_outcome>();
    unanswered->scheduled.at = milliseconds(1000);
    auto warm_up = outcome(result_code::complete, milliseconds(1));
    warm_up->scheduled.at = milliseconds(100);
    const run_summary summary =
        summarize(plan,
                  {outcome(result_code::complete, milliseconds(20)),
                   outcome(result_code::complete, milliseconds(101)),
                   outcome(result_code::partial, milliseconds(90), 0.5),
                   outcome(result_code::overloaded, milliseconds(1), 0.0),
                   unanswered, warm_up},
                  milliseconds(500), milliseconds(2000));
    const mix_summary& mix = summary.mixes[0];
    CHECK(mix.offered == 5);
    CHECK(mix.served == 1);
    CHECK(mix.partial == 2);
    CHECK(mix.refused == 1);
    CHECK(mix.failed == 1);
    CHECK(mix.coverage == Approx(0.5));
    CHECK(mix.codes.at("none") == 1);
    CHECK(summary.worth_served == Approx(0.2));
    CHECK(to_json(summary)["mixes"][0]["served"] == 1);
}

TEST_CASE("latency quantiles are accurate to one percent")
{
    latency_distribution latencies;
    CHECK(latencies.quantile(0.99) == microseconds(0));
    for (int ms = 1; ms <= 1000; ++ms)
    {
        latencies.record(milliseconds(ms));
    }
    CHECK(static_cast<double>(latencies.quantile(0.5).count()) ==
          Approx(500'000).epsilon(0.011));
    CHECK(static_cast<double>(latencies.quantile(0.99).count()) ==
          Approx(990'000).epsilon(0.011));
    CHECK(latencies.count() == 1000);
}

} // namespace
