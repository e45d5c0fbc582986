#include "node/process/placement.hpp"
#include "node/process/replica_health.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

constexpr microseconds usual = 10ms;

/// How a scripted replica treats a call.
enum class treatment : std::uint8_t
{
    good,
    failure, ///< a whole answer with status 500
    broken,  ///< the answer breaks off
    endless  ///< the answer is incomplete at the deadline
};

using script = std::function<treatment(std::size_t call, instant now)>;

/// Replicas that pass every health check and treat calls by a script, and one
/// host that calls them in virtual time, a millisecond a step.
class trial_host
{
public:
    void add(const std::string& id, script treat)
    {
        one_replica made;
        made.target.id = leaf_id(id);
        made.target.domain = failure_domain("a");
        made.treat = std::move(treat);
        this->replicas.push_back(std::move(made));
    }

    /// Starts `calls_a_step` calls a millisecond for as long as given.
    void run(microseconds time, bool repeatable = true)
    {
        const instant end = this->now + time;
        for (; this->now < end; this->now += 1ms)
        {
            this->end_calls();
            this->probe();
            for (std::size_t i = 0; i < this->calls_a_step; ++i)
            {
                this->start_call(repeatable);
            }
        }
    }

    [[nodiscard]] std::size_t sent(std::size_t number) const
    {
        return this->replicas[number].sent;
    }

    [[nodiscard]] replica_health& health(std::size_t number)
    {
        return this->replicas[number].health;
    }

    std::size_t refused = 0;
    std::size_t calls_a_step = 1;
    microseconds call_timeout = 100ms;
    microseconds call_time = usual;

private:
    struct open_call
    {
        instant sent{};
        instant end{};
        treatment treated{};
        bool trial = false;
    };

    struct one_replica
    {
        replica target;
        replica_health health{4, milliseconds(0), instant(100s)};
        script treat;
        std::vector<open_call> open;
        std::size_t sent = 0;
    };

    void start_call(bool repeatable)
    {
        std::vector<candidate> candidates;
        std::ranges::transform(
            this->replicas, std::back_inserter(candidates),
            [](const one_replica& one) {
                return candidate{&one.target, &one.health, false};
            });
        placement_query place;
        place.now = this->now;
        place.usual = usual;
        place.random = this->random;
        place.repeatable = repeatable;
        this->random = this->random * 6364136223846793005ULL + 1;
        const auto choice = choose_replica(candidates, place);
        if (!choice)
        {
            ++this->refused;
            return;
        }
        one_replica& one = this->replicas[choice->index];
        const treatment treated = one.treat(one.sent++, this->now);
        const microseconds lasts = treated == treatment::endless
                                       ? this->call_timeout
                                       : this->call_time;
        one.open.push_back({this->now, this->now + lasts, treated,
                            one.health.on_sent(this->now)});
    }

    void end_calls()
    {
        for (one_replica& one : this->replicas)
        {
            const auto ended = [this](const open_call& call)
            {
                return call.end <= this->now;
            };
            for (const open_call& call : one.open)
            {
                if (ended(call))
                {
                    this->end(one, call);
                }
            }
            std::erase_if(one.open, ended);
        }
    }

    void end(one_replica& one, const open_call& call)
    {
        const bool whole = call.treated == treatment::good ||
                           call.treated == treatment::failure;
        if (whole)
        {
            one.health.on_answer(this->now, this->now - call.sent, usual, {},
                                 call.treated == treatment::good);
        }
        else if (call.treated == treatment::endless)
        {
            one.health.on_cancelled(
                this->now, one.health.overdue(this->now, call.sent, usual));
        }
        else
        {
            one.health.on_broken(this->now);
        }
        if (call.trial)
        {
            one.health.on_trial_ended(this->now, whole ? trial_end::answered
                                                       : trial_end::broken);
        }
    }

    void probe()
    {
        for (one_replica& one : this->replicas)
        {
            if (one.health.down() && this->now >= one.health.next_probe())
            {
                one.health.on_probe_started(this->now);
                one.health.on_probe(this->now, true, {});
            }
        }
    }

    instant now{100s};
    std::uint64_t random = 7;
    std::vector<one_replica> replicas;
};

script always(treatment treated)
{
    return [treated](std::size_t, instant)
    {
        return treated;
    };
}

// Trials in 20 s: back-offs of 0.25, 0.5 and 1 s, then 2 s each.
constexpr std::size_t max_trials = 14;

// Calls at a replica before three have failed: four a millisecond, until the
// deadline at the latest.
constexpr std::size_t max_first_calls = 410;

TEST_CASE("a replica whose answers break off gets a call a trial, not full "
          "traffic after each health check")
{
    const treatment fault = GENERATE(treatment::broken, treatment::endless);
    const bool repeatable = GENERATE(true, false);
    trial_host host;
    host.calls_a_step = 4;
    host.add("faulty", always(fault));
    host.add("good", always(treatment::good));
    host.run(20s, repeatable);
    CHECK(host.sent(0) >= 3);
    CHECK(host.sent(0) <= max_first_calls + max_trials);
    CHECK(host.sent(0) + host.sent(1) == 80'000);
    CHECK(host.refused == 0);
}

TEST_CASE("calls of several hosts to a replica whose answers break off are "
          "bounded, each host by its own trials")
{
    std::size_t sent = 0;
    for (int i = 0; i < 4; ++i)
    {
        trial_host host;
        host.add("faulty", always(treatment::broken));
        host.run(20s);
        sent += host.sent(0);
        CHECK(host.refused + host.sent(0) == 20'000);
    }
    CHECK(sent <= 4 * (13 + max_trials));
}

TEST_CASE("a replica whose answers are whole again returns within a trial")
{
    const instant mended(110s);
    trial_host host;
    host.add("only", [mended](std::size_t, instant now)
             { return now < mended ? treatment::broken : treatment::good; });
    host.run(10s);
    const std::size_t before = host.sent(0);
    host.run(2'100ms);
    CHECK(host.health(0).belief() == replica_belief::up);
    const std::size_t returned = host.sent(0);
    CHECK(returned > before);
    host.run(1s);
    CHECK(host.sent(0) == returned + 1'000);
}

TEST_CASE("a replica that fails part of its requests with whole answers is "
          "never left or put on trial")
{
    trial_host host;
    host.add("grey", [](std::size_t call, instant)
             { return call % 2 == 0 ? treatment::failure : treatment::good; });
    host.run(20s);
    CHECK(host.sent(0) == 20'000);
}

TEST_CASE("an answer lost once does not put a replica on trial")
{
    trial_host host;
    host.add("only", [](std::size_t call, instant)
             { return call == 50 ? treatment::broken : treatment::good; });
    host.run(1s);
    CHECK(host.sent(0) == 1'000);
}

TEST_CASE("a request that may run once goes to a replica on trial only when "
          "there is no other")
{
    const instant mended(100'200ms);
    trial_host host;
    host.add("mended", [mended](std::size_t, instant now)
             { return now < mended ? treatment::broken : treatment::good; });
    host.add("good", always(treatment::good));
    host.run(200ms);
    REQUIRE(host.health(0).down());
    const std::size_t before = host.sent(0);
    host.run(1s, false);
    CHECK(host.sent(0) == before);
    host.run(1s, true);
    CHECK(host.health(0).belief() == replica_belief::up);
}

TEST_CASE("a replica that crashed gets full traffic after a health check")
{
    replica_health health(4, milliseconds(0), instant(100s));
    for (int i = 0; i < 3; ++i)
    {
        health.on_sent(instant(100s));
        health.on_broken(instant(100s));
    }
    health.on_connect_failed(instant(100s));
    health.on_probe(instant(101s), true, {});
    CHECK(health.belief() == replica_belief::up);
}

TEST_CASE("a connection that cannot be made does not end the trials of a "
          "replica that has failed one")
{
    replica_health health(4, milliseconds(0), instant(100s));
    for (int i = 0; i < 3; ++i)
    {
        health.on_sent(instant(100s));
        health.on_broken(instant(100s));
    }
    health.on_probe(instant(101s), true, {});
    REQUIRE(health.on_sent(instant(101s)));
    health.on_broken(instant(101s));
    health.on_trial_ended(instant(101s), trial_end::broken);
    REQUIRE(health.down());
    health.on_connect_failed(instant(101s));
    health.on_probe(instant(102s), true, {});
    CHECK(health.belief() == replica_belief::on_trial);
}

TEST_CASE("trials that are given up early leave a replica after a few")
{
    replica_health health(4, milliseconds(0), instant(100s));
    for (int i = 0; i < 3; ++i)
    {
        health.on_sent(instant(100s));
        health.on_broken(instant(100s));
    }
    health.on_probe(instant(101s), true, {});
    for (int i = 0; i < 3; ++i)
    {
        REQUIRE(health.on_sent(instant(101s)));
        CHECK_FALSE(health.available());
        health.on_cancelled(instant(101s), false);
        health.on_trial_ended(instant(101s), trial_end::abandoned);
    }
    CHECK(health.down());
    CHECK(health.next_probe() > instant(101s));
}

TEST_CASE("a trial that was not sent or not answered well allows the next one")
{
    replica_health health(4, milliseconds(0), instant(100s));
    for (int i = 0; i < 3; ++i)
    {
        health.on_sent(instant(100s));
        health.on_broken(instant(100s));
    }
    health.on_probe(instant(101s), true, {});
    REQUIRE(health.on_sent(instant(101s)));
    CHECK_FALSE(health.on_sent(instant(101s)));
    health.on_trial_ended(instant(101s), trial_end::unsent);
    REQUIRE(health.on_sent(instant(101s)));
    health.on_answer(instant(101s), 1ms, usual, {}, false);
    health.on_trial_ended(instant(101s), trial_end::answered);
    CHECK(health.belief() == replica_belief::on_trial);
    CHECK(health.available());
    REQUIRE(health.on_sent(instant(101s)));
    health.on_answer(instant(101s), 1ms, usual, {}, true);
    health.on_trial_ended(instant(101s), trial_end::answered);
    CHECK(health.belief() == replica_belief::up);
}

} // namespace
