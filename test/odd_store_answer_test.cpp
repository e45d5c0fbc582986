/// The reader of the store and answers that are late or of a wrong era.
#include "node/process/store_reader.ipp"
#include "virtual_runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// A store whose next watch may have an odd answer.
struct odd_source
{
    boost::asio::awaitable<read_result> read_all(milliseconds)
    {
        ++this->whole_reads;
        co_await this->pass(2ms);
        co_return this->answer(0);
    }

    boost::asio::awaitable<read_result> watch(store_revision after,
                                              milliseconds wait, milliseconds)
    {
        ++this->watches;
        if (const auto named = std::exchange(this->named_once, std::nullopt))
        {
            co_await this->pass(2ms);
            co_return read_result{
                read_end::unavailable, {}, "status 503", *named};
        }
        if (const auto late = std::exchange(this->late_by, std::nullopt))
        {
            read_result formed = this->answer(after);
            co_await this->pass(*late);
            co_return formed;
        }
        co_await this->pass(wait);
        co_return this->answer(after);
    }

    boost::asio::awaitable<void> pass(milliseconds time)
    {
        virtual_runtime::timer timer(this->run.executor());
        timer.expires_after(time);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    // Its answers arrive at once.
    [[nodiscard]] std::size_t received_bytes() const
    {
        return 0;
    }

    [[nodiscard]] read_result answer(store_revision after) const
    {
        return {read_end::done,
                {after, this->revision, {}, this->era},
                "",
                this->era};
    }

    virtual_runtime& run;
    store_revision revision = 5;
    store_era era{2};
    int whole_reads = 0;
    int watches = 0;

    /// The era that one watch, which fails, names.
    std::optional<store_era> named_once{};

    /// The time after which one answer reaches the host.
    std::optional<milliseconds> late_by{};
};

struct odd_reader
{
    odd_reader()
    {
        boost::asio::co_spawn(this->run.executor(), this->reader.run(),
                              boost::asio::detached);
        this->run.run_until(1s);
    }

    static member own()
    {
        member one;
        one.address = peer_address("self");
        return one;
    }

    virtual_runtime run;
    odd_source source{run};
    store_view view{[](const item_change&) {
    }};
    member_list members{own(), instant{}};
    store_reader<virtual_runtime, odd_source> reader{run, source, view, members,
                                                     reader_role::seed};
};

// Guards against a host that reads the store in full without a pause, because
// one answer named an era that the store never had.
TEST_CASE("an era that only one answer named leads to no stream of reads")
{
    odd_reader host;
    host.source.named_once = store_era(5);
    host.run.run_until(21s);
    CHECK(host.source.whole_reads <= 30);
    CHECK(host.source.whole_reads + host.source.watches <= 60);
    host.source.revision = 6;
    host.run.run_until(25s);
    CHECK(host.view.view().position() == store_position{store_era(2), 6});
}

// Guards against a host that was paused and follows what the copy has lost,
// because it takes an answer from before the pause for a new one.
TEST_CASE("an answer that reaches a paused host late does not confirm its view")
{
    odd_reader host;
    host.source.late_by = 20s;
    host.run.run_until(10s);
    const auto before = host.view.confirmed();
    REQUIRE(before);
    REQUIRE(!host.source.late_by);
    REQUIRE(*before < instant(4s));
    // Watches have a time limit of three seconds.
    host.run.run_until(24s);
    CHECK(*host.view.confirmed() < instant(10s));
}

} // namespace
