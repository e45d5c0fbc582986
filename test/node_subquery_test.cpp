/// Tests of queries whose parts a host in another failure domain gathers.
#include "linked_hosts.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// Draws a part with up to 15 records from few values, so that equal records are
// common, mostly with trailing bytes that make no whole record.
std::string random_part(std::mt19937_64& random)
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

TEST_CASE("the shards of another domain are requested with one message")
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
    // A round trip to a replica and a round trip to the other host.
    CHECK(hosts.answered_at[0] < 8ms);
}

TEST_CASE("the merge of reports equals the merge of all parts byte for byte")
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
            parts[id] = random_part(random);
            // Some replicas pause, so that reports arrive one by one and some
            // parts arrive twice.
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
    std::vector<std::string_view> answered_parts;
    std::set<std::string> answered_shards;
    for (const std::string& signature : reply.part_signatures)
    {
        const std::string id = signature.substr(4);
        answered_parts.emplace_back(parts.at(id));
        answered_shards.insert(id.substr(0, id.find('-')));
    }
    CHECK(answered_shards.size() == reply.part_signatures.size());
    CHECK(reply.part_signatures.size() + reply.missing_parts.value_or(0) ==
          shards);
    CHECK(reply.body == merge_records(answered_parts, most_records));
}

TEST_CASE("the shards of a silent delegate are called directly in time")
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

    // It gets no subquery until it has sent a message again.
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

TEST_CASE("a delegate that receives a subquery late makes no third call")
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

TEST_CASE("shards are called directly after the link to the delegate closes")
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

TEST_CASE("a delegate with another route version gets one subquery per query")
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
    // The delegate sent no call, so the direct calls are not retries.
    CHECK(hosts.near_budget.left(service_name("s0"), scripted_targets::now()) >
          2.0);
}

TEST_CASE("a query is reported as not run when neither host can send a call")
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

TEST_CASE("a query that a delegate may have run is not reported as not run")
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

TEST_CASE("the calls of the delegate are abandoned when the caller disconnects")
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

// Guards against a query that crashes replicas behind the end of its caller.
TEST_CASE("the calls that a delegate abandons are suspect without any part")
{
    const bool any_part = GENERATE(false, true);
    linked_hosts hosts;
    hosts.behave(
        [any_part](const target_call& call, std::size_t)
        {
            const bool answered = any_part && call.to.value == "s0-b";
            return good_answer(call.to.value,
                               answered ? milliseconds(1) : 400ms);
        });
    hosts.start("/all/x");
    hosts.run.run_until(10ms);
    hosts.caller->notify_disconnect();
    hosts.run.run_until(20ms);
    CHECK(hosts.far.abandoned.size() == (any_part ? 5 : 6));
    CHECK(std::ranges::all_of(hosts.far.abandoned, [any_part](const auto& call)
                              { return call->request_answered == any_part; }));
}

TEST_CASE("a call of the delegate to a paused replica is hedged in time")
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
    // The delegate receives the cancellation of this shard and abandons its
    // call.
    CHECK(hosts.far.record.text.find("give up s2-b") != std::string::npos);
}

TEST_CASE("a call of the delegate that a replica sheds is retried at once")
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

TEST_CASE("a signed failure does not count as a part at the delegate either")
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

TEST_CASE("the repeated calls of both hosts stay within one retry budget")
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
    // At most a fifth of the requests plus a quarter of the slack.
    CHECK(hosts.calls_of(0) <= queries + queries / 5 + 3);
    CHECK(hosts.calls_of(0) > queries);
}

TEST_CASE("a report that names shards outside its subquery is ignored")
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

TEST_CASE("a delegate avoids a replica of its domain that sheds calls")
{
    // The replica sheds two calls of five, and each of them needs a retry.
    // Hedges are late, which favours replicas of the delegate's own domain.
    linked_hosts hosts(4, 1.0);
    hosts.near.usual.slow = 40ms;
    hosts.behave(
        [](const target_call& call, std::size_t sent)
        {
            const bool sheds = call.to.value == "s1-b" && sent % 5 < 2;
            return sheds ? shed() : good_answer(call.to.value, 5ms);
        });
    // Records the replica's answers in its health, as the program does.
    const auto record_answer = [&hosts](bool good)
    {
        hosts.far.health("s1-b").on_sent(scripted_targets::now());
        hosts.far.health("s1-b").on_answer(scripted_targets::now(), 5ms, 10ms,
                                           {}, good);
    };
    for (int i = 0; i < 20; ++i)
    {
        record_answer(i % 5 >= 2);
    }
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.far.record.text.find("call s1-b") == std::string::npos);
    CHECK(hosts.far.record.text.find("call s1-c") != std::string::npos);
    // Replicas of the domain that do not fail are still called.
    CHECK(hosts.far.record.text.find("call s0-b") != std::string::npos);
}

TEST_CASE("a part of a merged report replaces the same part received earlier")
{
    // Later reports omit records that earlier ones exclude from the answer, so
    // the records of earlier reports must stay in the answer.
    linked_hosts hosts;
    hosts.to_delegate = [](const link_message&)
    {
        return std::nullopt;
    };
    hosts.near.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, call.to.value == "s4-c" ? 5ms : 70ms);
    };
    const auto send_report = [&hosts](std::vector<reported_part> parts,
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
    send_report({{0, "m0"}, {1, "m1"}, {2, "m2"}, {3, "m3"}},
                {{4, missing_reason::waiting, leaf_id("s4-b")},
                 {5, missing_reason::waiting, leaf_id("s5-b")}},
                std::string(16, '3'));
    // The part of s4-c arrives first, then that of the other host.
    hosts.run.run_until(35ms);
    REQUIRE(hosts.near.record.text.find("call s4-c") != std::string::npos);
    send_report({{4, "m4"}}, {}, std::string(16, '4'));
    send_report({{5, "m5"}}, {}, std::string(16, '5'));
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    const caller_reply& reply = hosts.replies[0];
    CHECK(reply.part_signatures ==
          std::vector<std::string>{"m0", "m1", "m2", "m3", "m4", "m5"});
    CHECK(reply.body ==
          std::string(16, '5') + std::string(16, '4') + std::string(16, '3'));
}

TEST_CASE("a subquery sends fewer bytes between domains than direct calls")
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
    // The bodies of the parts alone are 30 times 1000 bytes.
    CHECK(hosts.bytes < 3'000);
}

} // namespace
