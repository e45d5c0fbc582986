#include "process/burn_tracker.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

request_class make_class()
{
    request_class one;
    one.name = class_name("valuation");
    one.service = service_name("counter-desk");
    one.value = worth(100.0);
    one.objective_latency = 170ms;
    one.objective_share = 0.99;
    return one;
}

nlohmann::json first_class(const burn_tracker& tracker, microseconds now)
{
    return nlohmann::json::parse(tracker.to_json(now)).at("classes").at(0);
}

TEST_CASE("a window counts what lies in it and forgets the rest")
{
    burn_window window(1.0);
    for (int minute = 0; minute < 600; ++minute)
    {
        window.record(minute % 10 != 0, std::chrono::minutes(minute));
    }
    const microseconds end = std::chrono::minutes(599);
    CHECK(window.counts(0, end) == burn_counts{5, 5});
    CHECK(window.counts(1, end) == burn_counts{30, 27});
    CHECK(window.counts(2, end) == burn_counts{60, 54});
    CHECK(window.counts(3, end) == burn_counts{360, 324});
    CHECK(window.counts(3, end + 7h) == burn_counts{0, 0});
}

TEST_CASE("a scaled window ends sooner")
{
    burn_window window(1.0 / 300.0);
    window.record(true, 0s);
    CHECK(window.counts(0, 900ms).total == 1);
    CHECK(window.counts(0, 1100ms).total == 0);
    CHECK(window.counts(1, 1100ms).total == 1);
}

TEST_CASE("served is complete, once and within the objective")
{
    struct example
    {
        burn_outcome outcome;
        std::uint64_t total;
        std::uint64_t served;
    };
    const auto run = [](const burn_outcome& outcome)
    {
        burn_tracker tracker(0us);
        tracker.record(make_class(), outcome, 1s);
        return first_class(tracker, 1s);
    };
    for (const example& one : {
             example{{result_code::complete, coverage(1.0), 170ms}, 1, 1},
             example{{result_code::complete, coverage(1.0), 171ms}, 1, 0},
             example{{result_code::repeated, coverage(1.0), 10ms}, 1, 1},
             example{{result_code::partial, coverage(0.95), 10ms}, 1, 0},
             example{{result_code::overloaded, {}, 1ms}, 1, 0},
             example{{result_code::outcome_unknown, {}, 1ms}, 1, 0},
             example{{result_code::bad_deadline, {}, 1ms}, 0, 0},
             example{{result_code::cancelled, {}, 100ms}, 0, 0},
             example{{result_code::cancelled, {}, 200ms}, 1, 0},
         })
    {
        const nlohmann::json counted = run(one.outcome);
        const auto code = static_cast<unsigned>(one.outcome.code);
        CAPTURE(code);
        for (const nlohmann::json& window : counted.at("windows"))
        {
            CHECK(window.at("total") == one.total);
            CHECK(window.at("served") == one.served);
        }
        CHECK(counted.at("lifetime").at("total") == one.total);
        CHECK(counted.at("codes") == nlohmann::json{{code, 1}});
    }
}

TEST_CASE("a class survives the way through JSON, and merging adds")
{
    burn_tracker tracker(0us);
    tracker.record(make_class(), {result_code::complete, coverage(1.0), 5ms},
                   1s);
    tracker.record(make_class(), {result_code::partial, coverage(0.55), 50ms},
                   1s);
    const nlohmann::json written = first_class(tracker, 2s);
    burn_class one = burn_class_from_json(written).value_or(burn_class());
    CHECK(to_json(one) == written);
    one.merge(burn_class(one));
    CHECK(one.lifetime == burn_counts{4, 2});
    CHECK(one.windows[0] == burn_counts{4, 2});
    CHECK(one.codes.at(1) == 2);
    CHECK(one.coverage[5] == 2);
    CHECK(one.coverage[10] == 2);
    CHECK(one.latency.count() == 4);
}

TEST_CASE("what another process sends is not trusted")
{
    burn_tracker tracker(0us);
    tracker.record(make_class(), {}, 1s);
    const nlohmann::json good = first_class(tracker, 1s);
    REQUIRE(burn_class_from_json(good).has_value());
    for (const auto& [key, value] : good.items())
    {
        nlohmann::json lacking = good;
        lacking.erase(key);
        CHECK_FALSE(burn_class_from_json(lacking).has_value());
    }
    nlohmann::json wrong = good;
    wrong["latency"]["bins"] = {{9'999, 1}};
    CHECK_FALSE(burn_class_from_json(wrong).has_value());
    wrong = good;
    wrong["objective_share"] = 1.0;
    CHECK_FALSE(burn_class_from_json(wrong).has_value());
    CHECK_FALSE(burn_class_from_json(nlohmann::json::array()).has_value());
}

} // namespace
