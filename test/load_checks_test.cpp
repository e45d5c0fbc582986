#include "load/answer_checks.hpp"
#include "load/checks.hpp"
#include "load/load_plan.hpp"
#include "load/target_checks.hpp"
#include "load/target_record.hpp"
#include "request/result_code.hpp"
#include "version/document.hpp"
#include "version/index_version.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace
{

using namespace basilpath;
using namespace basilpath::load;

/// A run without violations: two shards of weights 3 and 1, one complete answer
/// of version 5, and one key that ran once.
struct clean_run
{
    load_plan plan;
    document configuration;
    target_record record;
    std::vector<std::shared_ptr<request_outcome>> outcomes;

    clean_run()
    {
        this->plan.mixes.resize(2);
        this->plan.mixes[0].service = service_name("catalogue");
        this->plan.mixes[1].service = service_name("order-desk");
        this->plan.mixes[1].execute = true;
        this->plan.bounds.extra_load = 0.03;
        const auto version = std::make_shared<index_version>();
        version->number = version_number(5);
        version->total_weight = 4.0;
        version->shards = {{shard_number(0), 3.0, {leaf_id("a")}},
                           {shard_number(1), 1.0, {leaf_id("b")}}};
        service& catalogue =
            this->configuration.services[service_name("catalogue")];
        catalogue.versions = {version};
        service& orders =
            this->configuration.services[service_name("order-desk")];
        orders.kind = service_kind::lookup;
        orders.versions = {version};
        this->record.leaves[leaf_id("a")] = {2, 0, 10, 10, 2'900.0};
        this->record.leaves[leaf_id("b")] = {1, 0, 1, 10, {}};
        this->record.keys["key-1"] = {1, microseconds(500)};
        this->add(0, "query-1", result_code::complete);
        this->outcomes[0]->answers[0].origins = {
            {shard_number(0), version_number(5)},
            {shard_number(1), version_number(5)}};
        this->add(1, "key-1", result_code::complete);
    }

    // Adds a request with one answer received at 1 ms.
    caller_answer& add(std::size_t mix, const std::string& subject,
                       result_code code)
    {
        const auto made = std::make_shared<request_outcome>();
        made->scheduled.mix = mix;
        made->scheduled.subject = subject;
        caller_answer answer;
        answer.code = static_cast<std::uint32_t>(code);
        answer.received = microseconds(1000);
        answer.reported_coverage = 1.0;
        answer.version = version_number(5);
        answer.items = 2;
        made->answers.push_back(answer);
        this->outcomes.push_back(made);
        return made->answers.back();
    }

    caller_answer& query_answer()
    {
        return this->outcomes[0]->answers[0];
    }

    [[nodiscard]] std::vector<violation> check() const
    {
        return run_checks(
            {this->plan, this->configuration, this->record, this->outcomes});
    }
};

// Returns the names of the failed checks.
std::vector<std::string> check_names(const std::vector<violation>& violations)
{
    std::vector<std::string> all(violations.size());
    std::ranges::transform(violations, all.begin(), &violation::check);
    return all;
}

using checks = std::vector<std::string>;

TEST_CASE("a run without violations passes every check")
{
    CHECK(clean_run().check().empty());
}

TEST_CASE("a key that ran twice is a violation")
{
    clean_run run;
    run.record.keys["key-1"].runs = 2;
    CHECK(check_names(run.check()) == checks{"doubled_execution"});
}

TEST_CASE("an item of another version than reported is a violation")
{
    clean_run run;
    run.query_answer().origins[1].version = version_number(4);
    CHECK(check_names(run.check()) == checks{"mixed_versions"});
}

TEST_CASE("another request's answer is detected by its name and by its items")
{
    clean_run run;
    run.query_answer().request = "other";
    CHECK(check_names(run.check()) == checks{"crossed_answer"});
    run.query_answer().request.clear();
    run.query_answer().foreign_items = 1;
    CHECK(check_names(run.check()) == checks{"crossed_answer"});
}

TEST_CASE("a partial answer with the correct weights passes")
{
    clean_run run;
    run.query_answer().code = static_cast<std::uint32_t>(result_code::partial);
    run.query_answer().origins.pop_back();
    run.query_answer().missing = {shard_number(1)};
    run.query_answer().reported_coverage = 0.75;
    run.record.leaves[leaf_id("b")].received = 0;
    CHECK(run.check().empty());
}

TEST_CASE("every kind of wrong coverage is a violation")
{
    clean_run run;
    SECTION("too high")
    {
        run.query_answer().origins.pop_back();
    }
    SECTION("too low")
    {
        run.query_answer().reported_coverage = 0.75;
    }
    SECTION("by count instead of weight")
    {
        run.query_answer().code =
            static_cast<std::uint32_t>(result_code::partial);
        run.query_answer().origins.pop_back();
        run.query_answer().missing = {shard_number(1)};
        run.query_answer().reported_coverage = 0.5;
        run.record.leaves[leaf_id("b")].received = 0;
    }
    SECTION("a shard both present and missing")
    {
        run.query_answer().code =
            static_cast<std::uint32_t>(result_code::partial);
        run.query_answer().missing = {shard_number(1)};
        run.query_answer().reported_coverage = 0.75;
        run.record.leaves[leaf_id("b")].received = 0;
    }
    CHECK(check_names(run.check()) == checks{"false_coverage"});
}

TEST_CASE("a not-run answer for a key that ran is a violation")
{
    clean_run run;
    caller_answer& answer = run.outcomes[1]->answers[0];
    answer.code = static_cast<std::uint32_t>(result_code::overloaded);
    run.record.leaves[leaf_id("a")].received = 1;
    CHECK(check_names(run.check()) == checks{"false_not_run"});
    run.record.keys["key-1"].first_run = microseconds(1500);
    CHECK(run.check().empty());
    run.record.keys["key-1"].first_run.reset();
    CHECK(check_names(run.check()) == checks{"false_not_run"});
    answer.code = static_cast<std::uint32_t>(result_code::outcome_unknown);
    CHECK(run.check().empty());
}

TEST_CASE("excess connections and late work for a leaving leaf are violations")
{
    clean_run run;
    run.record.leaves[leaf_id("a")].peak_connections = 11;
    CHECK(check_names(run.check()) == checks{"connections_over_limit"});
    run.record.leaves[leaf_id("a")].peak_connections = 10;
    run.record.leaves[leaf_id("a")].after_leaving_ms = 3'001.0;
    CHECK(check_names(run.check()) == checks{"work_for_leaving_leaf"});
}

TEST_CASE("a third leaf crash caused by one request is a violation")
{
    clean_run run;
    run.plan.mixes[0].poison = true;
    run.record.leaves[leaf_id("a")].crashes = 2;
    CHECK(run.check().empty());
    run.record.leaves[leaf_id("b")].crashes = 1;
    CHECK(check_names(run.check()) == checks{"leaves_lost_to_one_request"});
}

TEST_CASE("leaf requests beyond those needed are a violation")
{
    clean_run run;
    run.record.leaves[leaf_id("b")].received = 2;
    CHECK(check_names(run.check()) == checks{"extra_load"});
    CHECK(extra_load({run.plan, run.configuration, run.record, run.outcomes}) ==
          Approx(1.0 / 3.0));
    run.plan.bounds.extra_load = -1.0;
    CHECK(run.check().empty());
}

TEST_CASE("refusing the highest worth while others are served is a violation")
{
    clean_run run;
    run.plan.bounds.worthiest_refused = 0.0;
    run.plan.mixes.push_back(run.plan.mixes[0]);
    run.plan.mixes[2].value = worth(10.0);
    run.add(2, "query-2", result_code::overloaded).reported_coverage = 0.0;
    CHECK(check_names(run.check()) == checks{"worthiest_class_refused"});
    run.outcomes.back()->scheduled.at = milliseconds(200);
    run.outcomes.back()->answers[0].received = milliseconds(201);
    CHECK(run.check().empty());
}

TEST_CASE("the stand-in's record is parsed")
{
    const auto record = read_target_record(
        R"({"leaves":{"a":{"received":7,"crashes":1,"connections_peak":3,
        "connection_limit":25,"last_request_after_leaving_ms":12.5}},
        "executions":[{"key":"k","count":1,"first_start_us":1500}],
        "platform":{"calls":9}})",
        microseconds(1000));
    REQUIRE(record.has_value());
    const target_record read = record.value_or(target_record());
    CHECK(read.leaves.at(leaf_id("a")).received == 7);
    CHECK(read.leaves.at(leaf_id("a")).after_leaving_ms == 12.5);
    CHECK(read.keys.at("k").first_run == microseconds(500));
    CHECK(read.platform_calls == 9);
    CHECK_FALSE(read_target_record("{}", microseconds(0)));
    CHECK_FALSE(read_target_record("nonsense", microseconds(0)));
}

} // namespace
