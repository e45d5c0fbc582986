#include "entry_fixture.hpp"

#include <algorithm>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

// Counts how often a text stands in a record.
std::size_t count_of(const std::string& record, const std::string& text)
{
    std::size_t count = 0;
    for (auto at = record.find(text); at != std::string::npos;
         at = record.find(text, at + 1))
    {
        ++count;
    }
    return count;
}

TEST_CASE("golden: a repeated redemption runs once")
{
    entry_fixture entry;
    entry.execute_all(5ms, result_code::complete);
    const std::string token = entry.own_home->issue_token();
    entry.start_execute("k1", token);
    entry.run.run_until(2ms);
    entry.start_execute("k1", token);
    entry.run.run_until(100ms);
    entry.start_execute("k1", token);
    entry.run.run_until(200ms);
    entry.start_execute("k1", token, "t2");
    entry.run.run_until(300ms);
    check_golden("execute-repeated.txt", entry.peers.record);
    CHECK(count_of(entry.peers.record, " execute h1") == 1);
}

TEST_CASE("golden: a home that was lost never says not run")
{
    entry_fixture entry;
    entry.execute_all(5ms, result_code::complete);
    const std::string token = entry.own_home->issue_token();
    // The home starts anew: another incarnation with another secret.
    entry.shared->own_incarnation = incarnation(0xb2);
    entry.own_home = std::make_shared<entry_fixture::home_type>(
        entry.shared, "other secret", entry_fixture::outcome_limit);
    entry.start_execute("k1", token);
    entry.run.run_until(100ms);
    // The home is on a host that has left, and on one that is silent.
    entry.start_execute("k2", "h1.h9.a1.1.120000000.00");
    entry.run.run_until(200ms);
    entry.peers.silent.insert(peer_address("entry-h2"));
    entry.start_execute("k3", "h1.h2.a1.1.120000000.00");
    entry.run.run_until(300ms);
    // The home takes the request and is never heard of again.
    entry.start_execute("k4", "h1.h3.a1.1.120000000.00");
    entry.run.run_until(700ms);
    check_golden("execute-home-lost.txt", entry.peers.record);
    CHECK(count_of(entry.peers.record, R"("not_run":true)") == 0);
    CHECK(count_of(entry.peers.record, "outcome_unknown") == 4);
}

TEST_CASE("golden: an outcome after the deadline is kept for the repeat")
{
    entry_fixture entry;
    entry.execute_all(400ms, result_code::complete);
    const std::string token = entry.own_home->issue_token();
    entry.start_execute("k1", token);
    entry.run.run_until(300ms);
    entry.start_execute("k1", token);
    entry.run.run_until(600ms);
    entry.start_execute("k1", token);
    entry.run.run_until(900ms);
    check_golden("execute-late-outcome.txt", entry.peers.record);
    CHECK(count_of(entry.peers.record, " execute h1") == 1);
}

TEST_CASE("a request known not to have run may be sent again")
{
    entry_fixture entry;
    entry.execute_all(5ms, result_code::expired_before_send);
    const std::string token = entry.own_home->issue_token();
    entry.start_execute("k1", token);
    entry.run.run_until(100ms);
    CHECK(count_of(entry.peers.record, R"("not_run":true)") == 1);
    entry.execute_all(5ms, result_code::complete);
    entry.start_execute("k1", token);
    entry.run.run_until(200ms);
    CHECK(count_of(entry.peers.record, R"("name":"complete")") == 1);
    CHECK(count_of(entry.peers.record, " execute h1") == 2);
}

TEST_CASE("forged and expired tokens run nothing")
{
    entry_fixture entry;
    entry.execute_all(5ms, result_code::complete);
    std::string token = entry.own_home->issue_token();
    std::string forged = token;
    forged.back() = forged.back() == '0' ? '1' : '0';
    entry.start_execute("k1", forged);
    entry.start_execute("k2", "nonsense");
    entry.start_execute("k3", "h1..a1.1.1.00");
    entry.run.run_until(10ms);
    CHECK(count_of(entry.peers.record, "token_forged") == 3);
    entry.run.run_until(121s);
    entry.start_execute("k4", token);
    entry.run.run_until(122s);
    CHECK(count_of(entry.peers.record, "token_expired") == 1);
    // So old that a key of this token may have been forgotten.
    entry.run.run_until(800s);
    entry.start_execute("k5", token);
    entry.run.run_until(801s);
    CHECK(count_of(entry.peers.record, "outcome_unknown") == 1);
    CHECK(count_of(entry.peers.record, " execute h1") == 0);
}

TEST_CASE("a full table refuses and never forgets")
{
    entry_fixture entry;
    entry.execute_all(5ms, result_code::complete);
    const std::string token = entry.own_home->issue_token();
    for (const std::string key : {"k1", "k2", "k3", "k4", "k5"})
    {
        entry.start_execute(key, token);
    }
    entry.run.run_until(100ms);
    CHECK(count_of(entry.peers.record, "outcome_table_full") == 1);
    entry.start_execute("k1", token);
    entry.run.run_until(200ms);
    CHECK(count_of(entry.peers.record, R"("name":"repeated")") == 1);
    CHECK(count_of(entry.peers.record, " execute h1") == 4);
}

TEST_CASE("a key that was withdrawn and started again is kept long enough")
{
    outcome_table table(10);
    const fingerprint print(1);
    CHECK(table.start("k", print, 100s, 200s, 0s) == key_state::started);
    table.withdraw("k");
    CHECK(table.start("k", print, 150s, 250s, 90s) == key_state::started);
    table.finish("k", {});
    CHECK(table.start("k", print, 150s, 250s, 201s) == key_state::finished);
    CHECK(table.start("other", print, 300s, 400s, 260s) == key_state::started);
    CHECK(table.size() == 1);
}

TEST_CASE("nothing is sent after the deadline")
{
    entry_fixture entry;
    entry.execute_all(5ms, result_code::complete);
    const std::string token = entry.own_home->issue_token();
    auto parsed = parse_caller_request(
        R"({"service":"ledger","class":"redeem","key":"k","token":")" + token +
            R"(","deadline_ms":1,"query":{"key":"t"}})",
        request_kind::execute, *entry.state->configuration);
    REQUIRE(parsed.value);
    entry.run.run_until(50ms);
    query_answer answer;
    boost::asio::co_spawn(
        entry.run.executor(),
        [](entry_fixture* self, caller_request request,
           query_answer* out) -> boost::asio::awaitable<void>
        {
            const auto session = std::make_shared<entry_fixture::execute>(
                self->shared, self->own_home, std::move(request),
                virtual_clock::time_point{});
            *out = co_await session->run();
        }(&entry, *parsed.value, &answer),
        boost::asio::detached);
    entry.run.run_until(100ms);
    CHECK(answer.code == result_code::expired_before_send);
    CHECK(count_of(entry.peers.record, " execute h1") == 0);
}

} // namespace
