#include "node/process/dependency_state.hpp"
#include "node/process/store_reader.ipp"
#include "virtual_runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// A store with scripted responses that counts its calls.
struct scripted_source
{
    boost::asio::awaitable<read_result> read_all(milliseconds)
    {
        ++this->whole_reads;
        co_return this->answer(0);
    }

    /// Comes back from a copy.
    void restore(store_revision at)
    {
        this->era = store_era(this->era.value + 1);
        this->revision = at;
    }

    boost::asio::awaitable<read_result> watch(store_revision after,
                                              milliseconds wait, milliseconds)
    {
        ++this->watches;
        virtual_runtime::timer timer(this->run.executor());
        timer.expires_after(this->answers_early ? 1ms : wait);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        if (const store_era odd = std::exchange(this->odd_era, store_era{});
            odd != store_era{})
        {
            co_return read_result{read_end::unavailable, {}, "odd", odd};
        }
        if (std::exchange(this->compacted, false) || after > this->revision)
        {
            co_return read_result{read_end::compacted, {}, "", this->era};
        }
        co_return this->answer(after);
    }

    // Its answers arrive at once.
    [[nodiscard]] std::size_t received_bytes() const
    {
        return 0;
    }

    read_result answer(store_revision after) const
    {
        return this->down ? read_result{read_end::unavailable, {}, "down"}
                          : read_result{read_end::done,
                                        {after, this->revision, {}, this->era},
                                        "",
                                        this->era};
    }

    virtual_runtime& run;
    store_revision revision = 5;
    store_era era{};

    /// The era of the next watch's answer alone, if it is set.
    store_era odd_era{};
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

/// A reader on a host with `others` other members.
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

TEST_CASE("a dependency reports its first state and each change once")
{
    dependency_state store;
    CHECK(store.update(false));
    CHECK_FALSE(store.update(false));
    CHECK(store.update(true));
    CHECK_FALSE(store.update(true));
    CHECK(store.update(false));
    dependency_state reached_at_once;
    CHECK(reached_at_once.update(true));
}

TEST_CASE("an idle reader makes a call every two seconds")
{
    reader_fixture host(0);
    host.run.run_until(59s);
    CHECK(host.source.whole_reads == 1);
    CHECK(host.source.watches <= 30);
    CHECK(host.source.watches >= 25);
}

TEST_CASE("a store that answers early is not called again at once")
{
    reader_fixture host(0);
    host.source.answers_early = true;
    host.run.run_until(10s);
    CHECK(host.source.watches <= 34);
}

TEST_CASE("the reader backs off while the store is down, and reads it within a "
          "second of its return")
{
    reader_fixture host(0);
    host.source.down = true;
    host.source.answers_early = true;
    host.run.run_until(20s);
    CHECK(host.source.whole_reads <= 50);
    host.source.down = false;
    host.run.run_until(21s);
    CHECK(host.view.view().position().revision == 5);
}

TEST_CASE("a compacted history leads to one full read")
{
    reader_fixture host(0);
    host.run.run_until(1s);
    host.source.compacted = true;
    host.source.revision = 9;
    host.run.run_until(10s);
    CHECK(host.source.whole_reads == 2);
    CHECK(host.view.view().position().revision == 9);
}

// Guards against a host that reads the store in full again and again, and
// follows nothing, after the store came back from a copy.
TEST_CASE("a restored store leads to one full read")
{
    // Its revision is lower than that of the view, the same or larger.
    const store_revision at = GENERATE(2, 5, 8);
    reader_fixture host(0);
    host.source.era = store_era(1);
    host.run.run_until(1s);
    host.source.restore(at);
    host.run.run_until(10s);
    CHECK(host.source.whole_reads == 2);
    CHECK(host.source.watches <= 6);
    CHECK(host.view.view().position() == store_position{store_era(2), at});
    host.source.revision = at + 1;
    host.run.run_until(14s);
    CHECK(host.view.view().position().revision == at + 1);
    CHECK(host.source.whole_reads == 2);
}

TEST_CASE("a host that another one has told of the restored store watches it")
{
    reader_fixture host(0);
    host.source.era = store_era(1);
    host.run.run_until(1s);
    host.source.restore(2);
    host.view.apply({0, 2, {}, store_era(2)}, std::nullopt);
    host.run.run_until(10s);
    CHECK(host.source.whole_reads == 1);
}

// Guards against full reads without a pause after an answer with an odd era.
TEST_CASE("a later era that the store does not confirm leads to one full read")
{
    reader_fixture host(0);
    host.source.era = store_era(1);
    host.run.run_until(1s);
    host.source.era = store_era(7);
    host.run.run_until(2'500ms);
    const int before = host.source.whole_reads;
    host.source.era = store_era(1);
    host.run.run_until(20s);
    CHECK(host.source.whole_reads - before <= 30);
    CHECK(host.source.watches <= 30);
}

// The same while the view is not of that era.
TEST_CASE("an odd era in one answer does not stop the watches")
{
    reader_fixture host(0);
    host.source.era = store_era(1);
    host.run.run_until(1s);
    host.source.odd_era = store_era(7);
    host.run.run_until(20s);
    CHECK(host.source.whole_reads == 2);
    CHECK(host.source.watches >= 8);
    CHECK(host.view.view().position() == store_position{store_era(1), 5});
}

TEST_CASE("a store without eras that goes back is called rarely")
{
    reader_fixture host(0);
    host.run.run_until(1s);
    host.source.revision = 2;
    host.source.answers_early = true;
    const int before = host.source.watches + host.source.whole_reads;
    host.run.run_until(21s);
    CHECK(host.source.watches + host.source.whole_reads - before <= 120);
}

TEST_CASE("a store that answers of an earlier era is called rarely")
{
    reader_fixture host(0);
    host.source.answers_early = true;
    host.source.era = store_era(1);
    host.run.run_until(1s);
    host.view.apply({0, 2, {}, store_era(2)}, std::nullopt);
    const int before = host.source.watches + host.source.whole_reads;
    host.run.run_until(21s);
    CHECK(host.source.watches + host.source.whole_reads - before <= 50);
    CHECK(host.view.view().position() == store_position{store_era(2), 2});
}

TEST_CASE("a host that is not a reader reads only when its view is too old")
{
    // With forty other hosts this one does not rank among the first two.
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
    // The readers stop confirming the view, so this host takes over.
    host.run.run_until(27s);
    CHECK(host.source.watches + host.source.whole_reads > first);
}

} // namespace
