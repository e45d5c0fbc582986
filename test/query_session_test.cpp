#include "entry_fixture.hpp"

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

const std::string browse =
    R"({"service":"search","class":"browse","query":{"text":"garnet"}})";

TEST_CASE("golden: a full answer")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    entry.start_query(browse);
    entry.run.run_until(1s);
    check_golden("query-full-answer.txt", entry.peers.record);
    CHECK(entry.shared->router.size() == 0);
}

TEST_CASE("golden: an unproven query is tried on one shard first")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    entry.start_query(browse, false);
    entry.run.run_until(500ms);
    entry.start_query(browse, false);
    entry.run.run_until(1s);
    check_golden("query-canary.txt", entry.peers.record);
}

TEST_CASE("golden: a query that crashes its targets fails on one shard")
{
    entry_fixture entry;
    entry.peers.script =
        [&entry](const peer_address& to, const wire::Envelope& message)
    {
        if (!message.has_shard_query())
        {
            return;
        }
        wire::ShardResults results;
        results.set_request(message.shard_query().request());
        results.set_attempt(message.shard_query().attempt());
        wire::ShardResult& one = *results.add_results();
        one.set_shard(message.shard_query().shards(0));
        one.set_code(static_cast<unsigned>(result_code::quarantined));
        one.set_attempts(2);
        entry.peers.after(5ms, [&entry, to, results]
                          { entry.deliver(to.value, results); });
    };
    entry.start_query(browse, false);
    entry.run.run_until(1s);
    check_golden("query-crashes-targets.txt", entry.peers.record);
}

TEST_CASE(
    "a canary that is answered with nonsense costs its shard, not the query")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    const auto answer = entry.peers.script;
    entry.peers.script =
        [&](const peer_address& to, const wire::Envelope& message)
    {
        if (!message.has_shard_query() || !message.shard_query().canary())
        {
            answer(to, message);
            return;
        }
        wire::ShardResults results;
        results.set_request(message.shard_query().request());
        results.set_attempt(message.shard_query().attempt());
        wire::ShardResult& one = *results.add_results();
        one.set_shard(message.shard_query().shards(0));
        one.set_code(static_cast<unsigned>(result_code::bad_reply));
        one.set_attempts(2);
        entry.peers.after(2ms, [&entry, to, results]
                          { entry.deliver(to.value, results); });
    };
    entry.start_query(browse, false);
    entry.run.run_until(1s);
    CHECK(entry.peers.record.find(R"("name":"partial")") != std::string::npos);
}

TEST_CASE("golden: a straggler past the deadline leaves a partial answer")
{
    entry_fixture entry;
    entry.peers.script =
        [&entry](const peer_address& to, const wire::Envelope& message)
    {
        if (!message.has_shard_query())
        {
            return;
        }
        const wire::ShardQuery& asked = message.shard_query();
        for (const std::uint32_t shard : asked.shards())
        {
            entry.peers.after(shard == 1 ? 300ms : 4ms,
                              [&entry, to, asked, shard]
                              {
                                  wire::ShardResults results;
                                  results.set_request(asked.request());
                                  results.set_attempt(asked.attempt());
                                  *results.add_results() =
                                      entry_fixture::result_of(asked, shard);
                                  entry.deliver(to.value, results);
                              });
        }
    };
    entry.start_query(browse);
    entry.run.run_until(1s);
    check_golden("query-straggler.txt", entry.peers.record);
    CHECK(entry.shared->router.late() == 1);
}

TEST_CASE("golden: the owner of a shard falls silent and the next one answers")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    const auto answer = entry.peers.script;
    std::string lost;
    entry.peers.script =
        [&](const peer_address& to, const wire::Envelope& message)
    {
        if (lost.empty())
        {
            lost = to.value;
            entry.peers.after(30ms,
                              [&entry, to]
                              {
                                  entry.peers.write("{} falls silent",
                                                    to.value);
                                  entry.peers.silent.insert(to);
                              });
            return;
        }
        answer(to, message);
    };
    entry.start_query(browse);
    entry.run.run_until(1s);
    check_golden("query-owner-lost.txt", entry.peers.record);
}

TEST_CASE("golden: a version switch in mid-query runs the query again on one "
          "version")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    const auto answer = entry.peers.script;
    entry.peers.script =
        [&](const peer_address& to, const wire::Envelope& message)
    {
        const bool gone = message.has_shard_query() &&
                          message.shard_query().version() == 2 &&
                          message.shard_query().shards(0) != 0;
        if (!gone)
        {
            answer(to, message);
            return;
        }
        const wire::ShardQuery& asked = message.shard_query();
        entry.peers.after(5ms,
                          [&entry, to, asked]
                          {
                              wire::ShardResults results;
                              results.set_request(asked.request());
                              results.set_attempt(asked.attempt());
                              for (const std::uint32_t shard : asked.shards())
                              {
                                  wire::ShardResult one =
                                      entry_fixture::result_of(asked, shard);
                                  one.set_code(static_cast<unsigned>(
                                      result_code::snapshot_lost));
                                  one.clear_items();
                                  *results.add_results() = one;
                              }
                              entry.deliver(to.value, results);
                          });
    };
    entry.start_query(browse);
    entry.run.run_until(1s);
    check_golden("query-version-switch.txt", entry.peers.record);
}

TEST_CASE("golden: crossed, late and duplicate replies are dropped")
{
    entry_fixture entry;
    entry.peers.script =
        [&entry](const peer_address& to, const wire::Envelope& message)
    {
        if (!message.has_shard_query())
        {
            return;
        }
        const wire::ShardQuery& asked = message.shard_query();
        entry.peers.after(
            4ms,
            [&entry, to, asked]
            {
                wire::ShardResults results;
                results.set_attempt(asked.attempt());
                for (const std::uint32_t shard : asked.shards())
                {
                    wire::ShardResult wrong =
                        entry_fixture::result_of(asked, shard);
                    wrong.set_version(asked.version() - 1);
                    *results.add_results() = wrong;
                    *results.add_results() =
                        entry_fixture::result_of(asked, shard);
                    *results.add_results() =
                        entry_fixture::result_of(asked, shard);
                }
                *results.add_results() = entry_fixture::result_of(asked, 99);
                results.set_request("h1-other-1");
                entry.deliver(to.value, results);
                results.set_request(asked.request());
                entry.deliver(to.value, results);
                entry.peers.after(50ms, [&entry, to, results]
                                  { entry.deliver(to.value, results); });
            });
    };
    entry.start_query(browse);
    entry.run.run_until(1s);
    check_golden("query-crossed-replies.txt", entry.peers.record);
    CHECK(entry.shared->counters.wrong_version_results == 3);
    CHECK(entry.shared->counters.duplicate_results == 3);
}

TEST_CASE("a relay that is leaving sends its shards to the next owner at once")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    const auto answer = entry.peers.script;
    std::string leaving;
    entry.peers.script =
        [&](const peer_address& to, const wire::Envelope& message)
    {
        if (!message.has_shard_query() ||
            (!leaving.empty() && leaving != to.value))
        {
            answer(to, message);
            return;
        }
        leaving = to.value;
        wire::ShardResults results;
        results.set_request(message.shard_query().request());
        results.set_attempt(message.shard_query().attempt());
        for (const std::uint32_t shard : message.shard_query().shards())
        {
            wire::ShardResult& one = *results.add_results();
            one.set_shard(shard);
            one.set_code(static_cast<unsigned>(result_code::shutting_down));
        }
        entry.peers.after(1ms, [&entry, to, results]
                          { entry.deliver(to.value, results); });
    };
    entry.start_query(browse);
    entry.run.run_until(1s);
    CHECK(entry.peers.record.find(R"("code":0,"name":"complete")") !=
          std::string::npos);
}

TEST_CASE("a caller that goes away cancels the work of the relays")
{
    entry_fixture entry;
    entry.start_query(browse);
    entry.run.run_until(10ms);
    entry.last_query->cancel();
    entry.run.run_until(20ms);
    CHECK(entry.peers.record.find("cancel h1-a1-1") != std::string::npos);
    CHECK(entry.peers.record.find(R"("name":"cancelled","not_run":false)") !=
          std::string::npos);
}

TEST_CASE("a refusal of every relay is not run, a lost relay is not")
{
    entry_fixture entry;
    entry.peers.script =
        [&entry](const peer_address& to, const wire::Envelope& message)
    {
        if (!message.has_shard_query())
        {
            return;
        }
        wire::ShardResults results;
        results.set_request(message.shard_query().request());
        results.set_attempt(message.shard_query().attempt());
        for (const std::uint32_t shard : message.shard_query().shards())
        {
            wire::ShardResult& one = *results.add_results();
            one.set_shard(shard);
            one.set_code(static_cast<unsigned>(result_code::overloaded));
        }
        entry.peers.after(1ms, [&entry, to, results]
                          { entry.deliver(to.value, results); });
    };
    entry.start_query(browse);
    entry.run.run_until(500ms);
    CHECK(entry.peers.record.find(R"("name":"overloaded","not_run":true)") !=
          std::string::npos);
    entry.peers.script = nullptr;
    entry.start_query(browse);
    entry.run.run_until(1s);
    CHECK(entry.peers.record.find(
              R"("name":"deadline_exceeded","not_run":false)") !=
          std::string::npos);
}

TEST_CASE("an answer under the least coverage is not given")
{
    entry_fixture entry;
    entry.answer_all(3ms);
    const auto answer = entry.peers.script;
    entry.peers.script =
        [&](const peer_address& to, const wire::Envelope& message)
    {
        if (message.has_shard_query() && message.shard_query().shards(0) == 0)
        {
            answer(to, message);
        }
    };
    entry.start_query(R"({"service":"search","class":"browse",)"
                      R"("least_coverage":0.95,"query":{}})");
    entry.run.run_until(1s);
    const bool low =
        entry.peers.record.find("coverage_too_low") != std::string::npos;
    const bool whole =
        entry.peers.record.find(R"("name":"complete")") != std::string::npos;
    CHECK((low || whole));
    CHECK(entry.peers.record.find(R"("name":"partial")") == std::string::npos);
}

} // namespace
