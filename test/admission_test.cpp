#include "entry_fixture.hpp"
#include "process/admission_gate.hpp"

#include <algorithm>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// A limit that does not change.
struct fixed_limit
{
    std::size_t allowed = 1;

    [[nodiscard]] std::size_t limit() const
    {
        return this->allowed;
    }

    void learn(const admission_sample&, microseconds) {}
};

using fixed_gate = admission_gate<virtual_runtime, fixed_limit>;

/// What became of requests at a gate, in order.
struct gate_record
{
    virtual_runtime run;
    std::shared_ptr<fixed_gate> gate =
        std::make_shared<fixed_gate>(run, fixed_limit{1});
    std::vector<std::string> events;

    void request(std::string name, double value, microseconds patience,
                 microseconds service)
    {
        boost::asio::co_spawn(
            this->run.executor(),
            [](gate_record* self, std::string name, worth value,
               microseconds patience,
               microseconds service) -> boost::asio::awaitable<void>
            {
                const auto until = virtual_clock::now() + patience;
                auto place = co_await self->gate->enter(value, until);
                self->events.push_back(name + (place ? " in" : " refused"));
                virtual_runtime::timer timer(self->run.executor());
                if (!place)
                {
                    co_return;
                }
                timer.expires_after(service);
                co_await timer.async_wait(
                    boost::asio::as_tuple(boost::asio::use_awaitable));
                place->report(microseconds::zero(), 10ms, true);
            }(this, std::move(name), worth(value), patience, service),
            boost::asio::detached);
    }
};

TEST_CASE("the gate admits by worth and refuses the least after its patience")
{
    gate_record record;
    record.request("first", 1, 50ms, 20ms);
    record.run.run_until(1ms);
    record.request("low", 1, 50ms, 20ms);
    record.request("high", 100, 50ms, 20ms);
    record.run.run_until(2ms);
    record.request("top", 1000, 50ms, 20ms);
    record.run.run_until(3ms);
    record.request("later-low", 1, 50ms, 20ms);
    record.run.run_until(200ms);
    CHECK(record.events == std::vector<std::string>{"first in", "top in",
                                                    "high in", "low refused",
                                                    "later-low refused"});
    CHECK(record.gate->admitted_now() == 0);
    CHECK(record.gate->waiting_now() == 0);
}

TEST_CASE("among equals the latest is admitted first")
{
    gate_record record;
    record.request("first", 1, 100ms, 10ms);
    record.run.run_until(1ms);
    record.request("older", 1, 100ms, 10ms);
    record.run.run_until(2ms);
    record.request("newer", 1, 100ms, 10ms);
    record.run.run_until(200ms);
    CHECK(record.events ==
          std::vector<std::string>{"first in", "newer in", "older in"});
}

TEST_CASE("places that requests of more worth will need are kept for them")
{
    gate_record record;
    record.gate = std::make_shared<fixed_gate>(record.run, fixed_limit{4});
    // Requests of much worth come every 5 ms and take 20 ms: four places.
    for (int i = 0; i < 100; ++i)
    {
        record.run.run_until(i * 5ms);
        record.request("high", 10, 30ms, 20ms);
        if (i >= 50)
        {
            record.request("low", 1, 30ms, 20ms);
        }
    }
    record.run.run_until(2s);
    const auto high_refused = std::ranges::count(record.events, "high refused");
    CHECK(high_refused == 0);
    CHECK(std::ranges::count(record.events, "low refused") > 0);
}

TEST_CASE("the limit shrinks while requests wait and grows while they do not")
{
    wait_limit limit;
    const auto start = limit.limit();
    microseconds now = 1s;
    for (int i = 0; i < 100; ++i)
    {
        limit.learn({50ms, 10ms, true, limit.limit(), 60ms}, now += 10ms);
    }
    const auto shrunk = limit.limit();
    CHECK(shrunk < start / 2);
    for (int i = 0; i < 2000; ++i)
    {
        limit.learn({1ms, 10ms, true, limit.limit(), 10ms}, now += 1ms);
    }
    CHECK(limit.limit() > start);
    const auto grown = limit.limit();
    for (int i = 0; i < 2000; ++i)
    {
        limit.learn({1ms, 10ms, true, 1, 10ms}, now += 1ms);
    }
    CHECK(limit.limit() == grown);
}

TEST_CASE("golden: at the crest the least worth is refused, not run, and told "
          "when to come back")
{
    entry_fixture entry;
    entry.answer_all(40ms);
    for (int i = 0; i < 33; ++i)
    {
        entry.start_query(
            R"({"service":"search","class":"browse","query":{"text":"a"}})");
    }
    entry.start_query(
        R"({"service":"search","class":"browse","query":{"text":"b"}})");
    entry.run.run_until(35ms);
    check_golden(
        "query-overload.txt",
        entry.peers.record.substr(
            entry.peers.record.rfind('\n', entry.peers.record.size() - 2) + 1));
    CHECK(entry.peers.record.find(R"("name":"overloaded","not_run":true)") !=
          std::string::npos);
}

} // namespace
