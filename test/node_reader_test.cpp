#include "node/process/dependency_state.hpp"
#include "node/process/store_reader.ipp"
#include "virtual_runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// A store that answers as it is told, and counts its calls.
struct scripted_source
{
    boost::asio::awaitable<read_result> read_all(milliseconds)
    {
        ++this->whole_reads;
        co_return this->answer(0);
    }

    boost::asio::awaitable<read_result> watch(store_revision after,
                                              milliseconds wait, milliseconds)
    {
        ++this->watches;
        virtual_runtime::timer timer(this->run.executor());
        timer.expires_after(this->answers_early ? 1ms : wait);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        if (std::exchange(this->compacted, false))
        {
            co_return read_result{read_end::compacted, {}, ""};
        }
        co_return this->answer(after);
    }

    read_result answer(store_revision after) const
    {
        return this->down ? read_result{read_end::unavailable, {}, "down"}
                          : read_result{read_end::done,
                                        {after, this->revision, {}},
                                        ""};
    }

    virtual_runtime& run;
    store_revision revision = 5;
    bool down = false;
    bool answers_early = false;
    bool compacted = false;
    int whole_reads = 0;
    int watches = 0;
};

member host(const std::string& address)
{
    member one;
    one.address = peer_address(address);
    return one;
}

/// A reader among `others` other hosts.
struct reader_fixture
{
    explicit reader_fixture(int others)
    {
        for (int i = 0; i < others; ++i)
        {
            this->members.merge(host("other-" + std::to_string(i)), instant{});
        }
        boost::asio::co_spawn(this->run.executor(), this->reader.run(),
                              boost::asio::detached);
    }

    virtual_runtime run;
    scripted_source source{run};
    store_view view{[](const item_change&) {
    }};
    member_list members{host("self"), instant{}};
    store_reader<virtual_runtime, scripted_source> reader{
        run, source, view, members, reader_role::seed};
};

TEST_CASE("a dependency that was never reached is news once, and so is each "
          "change")
{
    dependency_state store;
    CHECK(store.note(false));
    CHECK_FALSE(store.note(false));
    CHECK(store.note(true));
    CHECK_FALSE(store.note(true));
    CHECK(store.note(false));
    dependency_state reached_at_once;
    CHECK(reached_at_once.note(true));
}

TEST_CASE("a calm reader makes a call each two seconds")
{
    reader_fixture host(0);
    host.run.run_until(59s);
    CHECK(host.source.whole_reads == 1);
    CHECK(host.source.watches <= 30);
    CHECK(host.source.watches >= 25);
}

TEST_CASE("a store that answers early is not asked again at once")
{
    reader_fixture host(0);
    host.source.answers_early = true;
    host.run.run_until(10s);
    CHECK(host.source.watches <= 34);
}

TEST_CASE("a store that is down is asked less and less often, and found again "
          "within a second of its return")
{
    reader_fixture host(0);
    host.source.down = true;
    host.source.answers_early = true;
    host.run.run_until(20s);
    CHECK(host.source.whole_reads <= 50);
    host.source.down = false;
    host.run.run_until(21s);
    CHECK(host.view.view().revision() == 5);
}

TEST_CASE("history that is gone is read anew, once")
{
    reader_fixture host(0);
    host.run.run_until(1s);
    host.source.compacted = true;
    host.source.revision = 9;
    host.run.run_until(10s);
    CHECK(host.source.whole_reads == 2);
    CHECK(host.view.view().revision() == 9);
}

TEST_CASE("a host that is no reader reads only when its view grows old")
{
    // Among forty hosts this one is not among the first two.
    reader_fixture host(40);
    REQUIRE(host.members.rank() >= 2);
    host.run.run_until(1s);
    const int first = host.source.watches + host.source.whole_reads;
    for (microseconds now = 1s; now < 20s; now += 500ms)
    {
        host.view.confirm(instant(now));
        host.run.run_until(now + 500ms);
    }
    CHECK(host.source.watches + host.source.whole_reads == first);
    // The readers fall silent: it takes over.
    host.run.run_until(27s);
    CHECK(host.source.watches + host.source.whole_reads > first);
}

} // namespace
