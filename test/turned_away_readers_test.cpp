/// Hosts of which the store turns some away.
#include "node/connection/peer_datagram.hpp"
#include "node/process/store_reader.ipp"
#include "virtual_runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// From the acknowledgement of a version until it must be in force.
constexpr microseconds apply_time = 3s;

/// How the store treats a host.
enum class treatment : std::uint8_t
{
    served,
    refused,
    ignored ///< gets no answer
};

struct model_store
{
    /// Returns the changes after a revision.
    [[nodiscard]] item_update since(store_revision after) const
    {
        item_update update{after, this->revision, {}, {}};
        if (this->revision > after)
        {
            update.changes.push_back({"op/config", "v", this->revision});
        }
        return update;
    }

    store_revision revision = 5;
    std::size_t calls = 0;
};

/// The store as one host reaches it.
struct model_source
{
    model_source(virtual_runtime& run, model_store& store)
        : run(run), store(store)
    {
    }

    boost::asio::awaitable<read_result> read_all(milliseconds timeout)
    {
        return this->watch(0, 0ms, timeout);
    }

    boost::asio::awaitable<read_result>
    watch(store_revision after, milliseconds wait, milliseconds timeout)
    {
        ++this->store.calls;
        constexpr milliseconds step = 10ms;
        milliseconds elapsed = 0ms;
        while (true)
        {
            virtual_runtime::timer timer(this->run.executor());
            timer.expires_after(step);
            co_await timer.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
            elapsed += step;
            if (this->by_store == treatment::refused ||
                (this->by_store == treatment::ignored && elapsed >= timeout))
            {
                co_return read_result{read_end::unavailable, {}, "away"};
            }
            const bool answers =
                this->by_store == treatment::served &&
                (this->store.revision > after || elapsed >= wait);
            if (answers)
            {
                co_await this->receive();
                co_return read_result{read_end::done, this->store.since(after),
                                      ""};
            }
        }
    }

    [[nodiscard]] std::size_t received_bytes() const
    {
        return this->received;
    }

    virtual_runtime& run;
    model_store& store;
    treatment by_store = treatment::served;

    /// How long an answer takes to arrive once it has begun.
    milliseconds transfer_time{0};

private:
    boost::asio::awaitable<void> receive()
    {
        constexpr milliseconds step = 10ms;
        for (milliseconds left = this->transfer_time; left > 0ms; left -= step)
        {
            virtual_runtime::timer timer(this->run.executor());
            timer.expires_after(step);
            co_await timer.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
            ++this->received;
        }
    }

    std::size_t received = 0;
};

member describe(const std::string& address)
{
    member one;
    one.address = peer_address(address);
    return one;
}

struct model_host
{
    model_host(virtual_runtime& run, model_store& store, std::size_t number)
        : source{run, store},
          members(describe("host-" + std::to_string(number)), instant{}),
          reader(run, source, view, members, reader_role::seed)
    {
    }

    model_source source;
    store_view view{[](const item_change&) {
    }};
    member_list members;
    store_reader<virtual_runtime, model_source> reader;
};

/// Hosts whose views and descriptions reach the others after a short time.
class model_hosts
{
public:
    static constexpr microseconds spread_time = 100ms;

    explicit model_hosts(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->hosts.push_back(
                std::make_unique<model_host>(this->run, this->store, i));
        }
        for (const auto& one : this->hosts)
        {
            this->introduce(*one);
            one->reader.on_contact_change([this, host = one.get()]
                                          { this->changed.push_back(host); });
            boost::asio::co_spawn(this->run.executor(), one->reader.run(),
                                  boost::asio::detached);
        }
    }

    void run_for(microseconds time)
    {
        for (const microseconds end = this->elapsed + time;
             this->elapsed < end;)
        {
            this->elapsed += spread_time;
            this->run.run_until(this->elapsed);
            this->exchange();
        }
    }

    /// Hosts in the order in which they read the store.
    [[nodiscard]] std::vector<model_host*> in_order() const
    {
        std::vector<model_host*> result;
        std::ranges::transform(this->hosts, std::back_inserter(result),
                               &std::unique_ptr<model_host>::get);
        std::ranges::sort(result, {},
                          [](const model_host* one)
                          { return one->members.rank(); });
        return result;
    }

    /// Writes to the store, and returns how long it takes until each host that
    /// the store serves has read it, up to ten seconds.
    microseconds write()
    {
        ++this->store.revision;
        const microseconds begin = this->elapsed;
        while (!this->all_current() && this->elapsed - begin < 10s)
        {
            this->run_for(spread_time);
        }
        return this->elapsed - begin;
    }

    virtual_runtime run;
    model_store store;
    std::vector<std::unique_ptr<model_host>> hosts;

private:
    [[nodiscard]] bool all_current() const
    {
        return std::ranges::all_of(
            this->hosts,
            [this](const auto& one)
            {
                return one->source.by_store != treatment::served ||
                       one->view.view().position().revision ==
                           this->store.revision;
            });
    }

    void introduce(const model_host& host)
    {
        for (const auto& other : this->hosts)
        {
            if (other.get() != &host)
            {
                other->members.merge(host.members.own(),
                                     instant(this->elapsed));
            }
        }
    }

    // Sends the changed descriptions, and the latest view, to all hosts.
    void exchange()
    {
        for (const model_host* const host : std::exchange(this->changed, {}))
        {
            this->introduce(*host);
        }
        const auto latest = std::ranges::max_element(
            this->hosts, {},
            [](const auto& one) { return one->view.view().position(); });
        const store_position position = (*latest)->view.view().position();
        if ((*latest)->view.view().empty())
        {
            return;
        }
        const item_update update = this->store.since(0);
        std::optional<instant> confirmed;
        for (const auto& one : this->hosts)
        {
            if (one->view.view().position() == position)
            {
                confirmed = std::max(confirmed, one->view.confirmed());
            }
        }
        for (const auto& one : this->hosts)
        {
            if (one->view.view().position() < position &&
                position.revision == update.revision)
            {
                one->view.apply(update, std::nullopt);
            }
            if (confirmed)
            {
                one->view.confirm(*confirmed);
            }
        }
    }

    microseconds elapsed{0};
    std::vector<const model_host*> changed;
};

// Turns away a third of the hosts, those that read first or each third one.
void turn_away(model_hosts& all, treatment how, bool first)
{
    const auto order = all.in_order();
    const std::size_t count = order.size() / 3;
    for (std::size_t i = 0; i < count; ++i)
    {
        order[first ? i : 3 * i]->source.by_store = how;
    }
}

// Guards against a version that comes into force late at hosts that the store
// serves, while it turns away those that read it for all.
TEST_CASE("a change is read in time while a third of the hosts is turned away")
{
    const std::size_t count = GENERATE(8, 9, 15, 95, 300);
    const auto [how, first] =
        GENERATE(table<treatment, bool>({{treatment::refused, true},
                                         {treatment::refused, false},
                                         {treatment::ignored, false}}));
    model_hosts all(count);
    all.run_for(10s);
    all.write();
    // Just after the last time that the view was confirmed.
    all.run_for(model_hosts::spread_time);
    turn_away(all, how, first);
    CAPTURE(count, static_cast<int>(how), first);
    CHECK(all.write() < apply_time);
    for (int i = 0; i < 4; ++i)
    {
        all.run_for(1'300ms);
        CHECK(all.write() < apply_time / 2);
    }
}

TEST_CASE("a store that turns hosts away is not called much more often")
{
    const std::size_t count = GENERATE(9, 95, 300);
    const auto how = GENERATE(treatment::refused, treatment::ignored);
    model_hosts all(count);
    all.run_for(10s);
    const std::size_t before = all.store.calls;
    all.run_for(60s);
    const std::size_t calm = all.store.calls - before;
    CHECK(calm <= 62);
    turn_away(all, how, false);
    // Until others read in their place.
    all.run_for(5s);
    const std::size_t begin = all.store.calls;
    all.run_for(60s);
    CAPTURE(count, static_cast<int>(how));
    CHECK(all.store.calls - begin <= 2 * calm);
}

TEST_CASE("a host that is served again reads in its turn")
{
    model_hosts all(9);
    all.run_for(10s);
    const auto order = all.in_order();
    turn_away(all, treatment::refused, true);
    all.run_for(10s);
    CHECK(order[0]->members.own().store_lost);
    CHECK(order[0]->members.rank() >= 6);
    for (const auto& one : all.hosts)
    {
        one->source.by_store = treatment::served;
    }
    all.run_for(10s);
    CHECK_FALSE(order[0]->members.own().store_lost);
    CHECK(order[0]->members.rank() == 0);
    CHECK(all.in_order() == order);
}

// No host reads in place of the others then.
TEST_CASE("a store that returns after it was away for all is read soon")
{
    const std::size_t count = GENERATE(3, 9, 95, 300);
    const auto how = GENERATE(treatment::refused, treatment::ignored);
    const microseconds away = GENERATE(2s, 10s, 30s);
    model_hosts all(count);
    all.run_for(10s);
    for (const auto& one : all.hosts)
    {
        one->source.by_store = how;
    }
    const std::size_t before = all.store.calls;
    all.run_for(away);
    // Two hosts keep trying, by the usual back-off; each other one finds out
    // and then tries now and then.
    const auto seconds = static_cast<std::size_t>(away / 1s);
    CHECK(all.store.calls - before <=
          2 * (10 + 3 * seconds) + count * (4 + seconds / 4));
    for (const auto& one : all.hosts)
    {
        one->source.by_store = treatment::served;
    }
    CAPTURE(count, static_cast<int>(how), away.count());
    CHECK(all.write() <= 2s);
}

// Guards against readers that yield in turn while each receives a large
// configuration, so that nobody reads it.
TEST_CASE("a reader that receives a long answer has not lost the store")
{
    model_hosts all(9);
    all.run_for(10s);
    const auto order = all.in_order();
    for (const auto& one : all.hosts)
    {
        one->source.transfer_time = 800ms;
    }
    std::size_t losses = 0;
    for (int i = 0; i < 5; ++i)
    {
        CHECK(all.write() < apply_time / 2);
        losses += static_cast<std::size_t>(
            std::ranges::count_if(all.hosts, [](const auto& one)
                                  { return one->members.own().store_lost; }));
    }
    CHECK(losses == 0);
    CHECK(all.in_order() == order);
}

TEST_CASE("hosts that have lost the store are last in the order of readers")
{
    member_list own(describe("self"), instant{});
    const std::size_t others = 8;
    for (std::size_t i = 0; i < others; ++i)
    {
        own.merge(describe("other-" + std::to_string(i)), instant{});
    }
    own.set_store_lost(true);
    CHECK(own.rank() == others);
    // If all have, they read in the usual order.
    own.set_store_lost(false);
    const std::size_t usual = own.rank();
    own.set_store_lost(true);
    for (std::size_t i = 0; i < others; ++i)
    {
        member one = describe("other-" + std::to_string(i));
        one.counter = 1;
        one.store_lost = true;
        own.merge(one, instant(1s));
    }
    CHECK(own.rank() == usual);
    CHECK(own.store_lost_count() == others);
    CHECK(own.last_store_loss() == instant(1s));
    CHECK(own.first_readers(3).size() == 3);
}

TEST_CASE("a description names the loss of the store only while it lasts")
{
    peer_datagram sent;
    sent.from = describe("self");
    const std::size_t calm_size = encode_datagram(sent, instant{}).size();
    sent.from.store_lost = true;
    const std::string bytes = encode_datagram(sent, instant{});
    CHECK(bytes.size() == calm_size + 1);
    const auto received = decode_datagram(bytes, instant{});
    REQUIRE(received);
    CHECK(received->from.store_lost);
}

} // namespace
