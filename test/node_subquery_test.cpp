/// Queries whose parts are gathered by a host of another failure domain.
#include "linked_hosts.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// A part with this many records drawn from few values, so that equal ones are
// common, and sometimes with a rest that is shorter than a record.
std::string draw_part(std::mt19937_64& random)
{
    std::string body;
    const std::size_t records = random() % 16;
    for (std::size_t i = 0; i < records; ++i)
    {
        body += fmt::format("{:016}", random() % 40);
    }
    body.append(random() % record_bytes, 'z');
    return body;
}

TEST_CASE("shards of another domain are asked with one message")
{
    linked_hosts hosts;
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 200);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.replies[0].part_signatures.size() == 6);
    CHECK(hosts.sent_to_delegate == 1);
    CHECK(linked_hosts::count(hosts.near.record.text, "  call ") == 0);
    // A call to a replica and back, and the way to the other host and back.
    CHECK(hosts.answered_at[0] < 8ms);
}

TEST_CASE("merged parts give the answer that all parts give, to the byte")
{
    const std::size_t seed = GENERATE(range(1, 60));
    std::mt19937_64 random(seed);
    constexpr std::size_t shards = 9;
    constexpr std::size_t most_records = 10;
    linked_hosts hosts(shards, 0.5);
    std::map<std::string, std::string> parts;
    std::map<std::string, milliseconds> times;
    for (std::size_t i = 0; i < shards; ++i)
    {
        for (const char* const domain : {"b", "c"})
        {
            const std::string id = fmt::format("s{}-{}", i, domain);
            parts[id] = draw_part(random);
            // Some pause, so that reports come one by one and parts come twice.
            times[id] = milliseconds(random() % 4 == 0 ? random() % 200
                                                       : 5 + random() % 30);
        }
    }
    hosts.behave(
        [&](const target_call& call, std::size_t)
        {
            target_script script =
                good_answer(call.to.value, times[call.to.value]);
            script.result.reply.body = parts[call.to.value];
            return script;
        });
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    const caller_reply& reply = hosts.replies[0];
    REQUIRE(reply.status == 200);
    std::vector<std::string_view> named;
    std::set<std::string> of_shards;
    for (const std::string& signature : reply.part_signatures)
    {
        const std::string id = signature.substr(4);
        named.emplace_back(parts.at(id));
        of_shards.insert(id.substr(0, id.find('-')));
    }
    CHECK(of_shards.size() == reply.part_signatures.size());
    CHECK(reply.part_signatures.size() + reply.missing_parts.value_or(0) ==
          shards);
    CHECK(reply.body == merge_records(named, most_records));
}

TEST_CASE("a delegate that is silent has its shards asked directly in time")
{
    linked_hosts hosts;
    hosts.from_delegate = [](const link_message&)
    {
        return std::nullopt;
    };
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 200);
    CHECK(hosts.answered_at[0] < 100ms);
    for (std::size_t shard = 0; shard < 6; ++shard)
    {
        CHECK(hosts.calls_of(shard) <= 2);
    }

    // It is left alone until it has spoken again.
    const std::size_t before = hosts.sent_to_delegate;
    hosts.start("/all/y");
    hosts.run.run_until(2s);
    CHECK(hosts.sent_to_delegate == before);
    REQUIRE(hosts.replies.size() == 2);
    CHECK(hosts.replies[1].missing_parts == 0);
    hosts.delegates.on_hello(hosts.gatherer.address);
    hosts.start("/all/z");
    hosts.run.run_until(3s);
    CHECK(hosts.sent_to_delegate > before);
}

TEST_CASE("a delegate that is frozen and wakes late asks no shard a third time")
{
    linked_hosts hosts;
    hosts.to_delegate = [](const link_message&)
    {
        return std::optional<microseconds>(60ms);
    };
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 200);
    for (std::size_t shard = 0; shard < 6; ++shard)
    {
        CHECK(hosts.calls_of(shard) <= 2);
    }
}

TEST_CASE("a link that ends has its shards asked directly")
{
    linked_hosts hosts;
    hosts.behave([](const target_call& call, std::size_t)
                 { return good_answer(call.to.value, 20ms); });
    hosts.start("/all/x");
    hosts.run.run_until(5ms);
    hosts.cut_link();
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.answered_at[0] < 30ms);
    CHECK(linked_hosts::count(hosts.far.record.text, "  give up ") == 6);
    CHECK(hosts.subqueries.busy_count() == 0);
}

TEST_CASE("a delegate with other routes is not asked twice for a query")
{
    linked_hosts hosts;
    hosts.subqueries.set_routes(std::make_shared<const route_table>(
        document_number(2), std::vector<route>{},
        std::map<service_name, service_rule>{}, caller_limits{}));
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.answered_at[0] < 10ms);
    CHECK(hosts.sent_to_delegate == 1);
    CHECK(linked_hosts::count(hosts.far.record.text, "  call ") == 0);
    // Nothing had been sent, so these were no repeats.
    CHECK(hosts.near_budget.left(service_name("s0"), scripted_targets::now()) >
          2.0);
}

TEST_CASE("a query that no delegate may ask has not run")
{
    linked_hosts hosts(4, 1.0);
    hosts.subqueries.set_routes(nullptr);
    hosts.behave([](const target_call&, std::size_t)
                 { return lost(call_end::unsent, 0ms); });
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 503);
}

TEST_CASE("a query that a delegate may have run is not said not to have run")
{
    linked_hosts hosts(4, 1.0);
    hosts.from_delegate = [](const link_message&)
    {
        return std::nullopt;
    };
    hosts.near.behave = [](const target_call&, std::size_t)
    {
        return lost(call_end::unsent, 0ms);
    };
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status >= 502);
    CHECK(hosts.replies[0].status != 503);
}

TEST_CASE("a caller that leaves ends the calls of the delegate")
{
    linked_hosts hosts;
    hosts.behave([](const target_call& call, std::size_t)
                 { return good_answer(call.to.value, 400ms); });
    hosts.start("/all/x");
    hosts.run.run_until(5ms);
    hosts.caller->notify_disconnect();
    hosts.run.run_until(10ms);
    CHECK(hosts.replies.size() == 1);
    CHECK(linked_hosts::count(hosts.far.record.text, "  give up ") == 6);
    CHECK(hosts.subqueries.busy_count() == 0);
}

TEST_CASE(
    "a replica that pauses at the delegate is asked for elsewhere in time")
{
    linked_hosts hosts;
    hosts.behave(
        [](const target_call& call, std::size_t) {
            return good_answer(call.to.value,
                               call.to.value == "s2-b" ? 150ms : 10ms);
        });
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.answered_at[0] < 60ms);
    CHECK(hosts.calls_of(2) == 2);
    // The other host is told that this part is in, and cuts its call.
    CHECK(hosts.far.record.text.find("give up s2-b") != std::string::npos);
}

TEST_CASE("a replica that sheds at the delegate is asked for elsewhere at once")
{
    linked_hosts hosts;
    hosts.behave(
        [](const target_call& call, std::size_t)
        {
            return call.to.value == "s2-b" ? shed()
                                           : good_answer(call.to.value, 10ms);
        });
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.answered_at[0] < 16ms);
    CHECK(hosts.calls_of(2) == 2);
}

TEST_CASE("a failure that a replica signs is no part at the delegate either")
{
    linked_hosts hosts(4, 0.75);
    hosts.behave(
        [](const target_call& call, std::size_t)
        {
            return call.to.value.starts_with("s1") ? failure(500)
                                                   : good_answer(call.to.value);
        });
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 1);
    CHECK(std::ranges::count(hosts.replies[0].part_signatures, "sig-failure") ==
          0);
    CHECK(hosts.calls_of(1) == 2);
}

TEST_CASE("repeats over both hosts stay within one budget")
{
    linked_hosts hosts;
    hosts.behave([](const target_call& call, std::size_t)
                 { return good_answer(call.to.value, 200ms); });
    constexpr std::size_t queries = 200;
    for (std::size_t i = 0; i < queries; ++i)
    {
        hosts.run.run_until(i * 20ms);
        hosts.start("/all/x");
    }
    hosts.run.run_until(8s);
    // A fifth of the requests, and half of a half of the slack.
    CHECK(hosts.calls_of(0) <= queries + queries / 5 + 3);
    CHECK(hosts.calls_of(0) > queries);
}

TEST_CASE("a report about shards that were not asked for is not taken")
{
    linked_hosts hosts;
    hosts.behave([](const target_call& call, std::size_t)
                 { return good_answer(call.to.value, 10ms); });
    hosts.start("/all/x");
    hosts.run.run_until(2ms);
    subquery_report report;
    report.number = subquery_number(1);
    report.parts = {{0, "sig-forged"}, {99, "sig-forged"}};
    hosts.delegates.on_report(hosts.gatherer.address, report, 1ms);
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(std::ranges::count(hosts.replies[0].part_signatures, "sig-forged") ==
          0);
}

TEST_CASE("a delegate leaves a replica of its domain that sheds")
{
    // Two calls of five are shed there, and each takes a repeat. Hedges are
    // late, so the delegate has much reason to stay.
    linked_hosts hosts(4, 1.0);
    hosts.near.usual.slow = 40ms;
    hosts.behave(
        [](const target_call& call, std::size_t sent)
        {
            const bool sheds = call.to.value == "s1-b" && sent % 5 < 2;
            return sheds ? shed() : good_answer(call.to.value, 5ms);
        });
    // The delegate's replicas tell it of their failures, as in the program.
    const auto note = [&hosts](bool good)
    {
        hosts.far.health("s1-b").on_sent(scripted_targets::now());
        hosts.far.health("s1-b").on_answer(scripted_targets::now(), 5ms, 10ms,
                                           {}, good);
    };
    for (int i = 0; i < 20; ++i)
    {
        note(i % 5 >= 2);
    }
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.far.record.text.find("call s1-b") == std::string::npos);
    CHECK(hosts.far.record.text.find("call s1-c") != std::string::npos);
    // Those that do not fail are still asked in the domain.
    CHECK(hosts.far.record.text.find("call s0-b") != std::string::npos);
}

TEST_CASE("a part of a merged report replaces the same part that came before")
{
    // Later reports leave out records for the sake of those told before, so
    // what was told must stay in the answer.
    linked_hosts hosts;
    hosts.to_delegate = [](const link_message&)
    {
        return std::nullopt;
    };
    hosts.near.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, call.to.value == "s4-c" ? 5ms : 70ms);
    };
    const auto tell = [&hosts](std::vector<reported_part> parts,
                               std::vector<missing_shard> missing_shards,
                               const std::string& records)
    {
        subquery_report report;
        report.number = subquery_number(1);
        report.parts = std::move(parts);
        report.missing_shards = std::move(missing_shards);
        report.records = records;
        hosts.delegates.on_report(hosts.gatherer.address, report, 1ms);
    };
    hosts.start("/all/x");
    hosts.run.run_until(5ms);
    tell({{0, "m0"}, {1, "m1"}, {2, "m2"}, {3, "m3"}},
         {{4, missing_reason::waiting, leaf_id("s4-b")},
          {5, missing_reason::waiting, leaf_id("s5-b")}},
         std::string(16, '3'));
    // The part of s4-c comes, then that of the other host.
    hosts.run.run_until(35ms);
    REQUIRE(hosts.near.record.text.find("call s4-c") != std::string::npos);
    tell({{4, "m4"}}, {}, std::string(16, '4'));
    tell({{5, "m5"}}, {}, std::string(16, '5'));
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    const caller_reply& reply = hosts.replies[0];
    CHECK(reply.part_signatures ==
          std::vector<std::string>{"m0", "m1", "m2", "m3", "m4", "m5"});
    CHECK(reply.body ==
          std::string(16, '5') + std::string(16, '4') + std::string(16, '3'));
}

TEST_CASE("fewer bytes cross between domains than when replicas are called")
{
    linked_hosts hosts(30, 0.75);
    hosts.behave(
        [](const target_call& call, std::size_t)
        {
            target_script script = good_answer(call.to.value, 5ms);
            script.result.reply.body = std::string(1'000, 'r');
            return script;
        });
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    REQUIRE(hosts.replies[0].missing_parts == 0);
    // The bodies of the parts alone are thirty times as much.
    CHECK(hosts.bytes < 3'000);
}

} // namespace
