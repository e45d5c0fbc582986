/// Runs two hosts in virtual time: one answers callers, the other gathers for
/// it.
#pragma once

#include "node/connection/link_codec.hpp"
#include "node/process/subquery_service.ipp"
#include "node_session_fixture.hpp"
#include "sample_query.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilpath::test
{

/// The host that answers is in "a" and has no replica in its domain. Each shard
/// has replicas in "b", the domain of the other host, and in "c". Messages pass
/// through the codec and take half a millisecond.
class linked_hosts
{
public:
    static constexpr microseconds one_way_delay{500};

    explicit linked_hosts(std::size_t shards = 6, double least = 0.75)
        : table(node_session_fixture::make_table(shards, least))
    {
        for (std::size_t i = 0; i < shards; ++i)
        {
            const std::string service = fmt::format("s{}", i);
            for (scripted_targets* const one : {&this->near, &this->far})
            {
                one->add(service + "-b", service, "b");
                one->add(service + "-c", service, "c");
            }
        }
        this->near.usual.answer_bytes = 1'000;
        this->queries.set_routes(this->table);
        this->subqueries.set_routes(this->table);
        this->near_budget.set_slack_share(0.25);
        this->far_budget.set_slack_share(0.25);
        this->delegates.set_hosts(std::vector{this->gatherer});
        this->delegates.on_hello(this->gatherer.address);
        this->open_link();
    }

    /// Makes replicas behave alike towards both hosts.
    void behave(const scripted_targets::script& script)
    {
        this->near.behave = script;
        this->far.behave = script;
    }

    void start(const std::string& target, milliseconds caller_timeout = 1500ms)
    {
        const auto query = sample_query(target, this->started++, caller_timeout,
                                        scripted_targets::now());
        this->caller = std::make_shared<caller_presence>(0us, 0us);
        boost::asio::co_spawn(this->run.executor(),
                              this->answer(query, this->caller),
                              boost::asio::detached);
    }

    /// Closes the link on both hosts.
    void cut_link()
    {
        this->link->close();
        this->delegates.on_closed(this->gatherer.address);
    }

    /// Number of calls that both hosts made for a shard.
    [[nodiscard]] std::size_t calls_of(std::size_t shard) const
    {
        const std::string wanted = fmt::format("  call s{}-", shard);
        return count(this->near.record.text, wanted) +
               count(this->far.record.text, wanted);
    }

    static std::size_t count(const std::string& text, const std::string& wanted)
    {
        std::size_t found = 0;
        for (auto at = text.find(wanted); at != std::string::npos;
             at = text.find(wanted, at + 1))
        {
            ++found;
        }
        return found;
    }

    /// Returns the delay of a message, or nothing if the message is lost.
    using delay_function =
        std::function<std::optional<microseconds>(const link_message&)>;

    virtual_runtime run;
    scripted_targets near{run, "a"};
    scripted_targets far{run, "b"};
    std::shared_ptr<const route_table> table;
    delegate gatherer{peer_address("10.0.0.2:7001"), failure_domain("b")};
    delay_function to_delegate = [](const link_message&)
    {
        return std::optional(one_way_delay);
    };
    delay_function from_delegate = to_delegate;
    std::size_t sent_to_delegate = 0;
    std::size_t bytes = 0;
    retry_budget near_budget{{0.2, 10.0, 10'000ms}};
    retry_budget far_budget{{0.2, 10.0, 10'000ms}};
    request_log log;
    node_metrics metrics;
    crash_detector crashes{[](const suspected_crash&) {
    }};
    delegate_pool delegates{
        peer_address("10.0.0.1:7001"),
        [this](const peer_address&, const link_message& message)
        {
            this->send_to_delegate(message);
            return stream_position(0);
        }};
    delegate_pool no_delegates{peer_address("10.0.0.2:7001"),
                               [](const peer_address&, const link_message&)
                               {
                                   return std::nullopt;
                               }};
    request_services<virtual_runtime, scripted_targets> near_shared{
        run, near, near_budget, log, metrics, crashes, delegates};
    request_services<virtual_runtime, scripted_targets> far_shared{
        run, far, far_budget, log, metrics, crashes, no_delegates};
    query_service<virtual_runtime, scripted_targets> queries{near_shared};
    subquery_service<virtual_runtime, scripted_targets> subqueries{far_shared};
    std::shared_ptr<caller_presence> caller;
    std::vector<caller_reply> replies;
    std::vector<microseconds> answered_at;

private:
    using far_link = subquery_service<virtual_runtime, scripted_targets>::link;

    void open_link()
    {
        this->link = std::make_shared<far_link>(
            this->subqueries, [this](const link_message& message)
            { this->send_from_delegate(message); });
    }

    void send_to_delegate(const link_message& message)
    {
        ++this->sent_to_delegate;
        this->transmit(this->to_delegate, message,
                       [this](const link_message& arrived)
                       { CHECK(this->link->take(arrived)); });
    }

    void send_from_delegate(const link_message& message)
    {
        this->transmit(this->from_delegate, message,
                       [this](const link_message& arrived)
                       {
                           this->delegates.on_report(
                               this->gatherer.address,
                               std::get<subquery_report>(arrived),
                               one_way_delay * 2);
                       });
    }

    // Encodes the message and delivers it, decoded again, after its delay.
    void transmit(const delay_function& delay_of, const link_message& message,
                  std::function<void(const link_message&)> deliver)
    {
        const std::string encoded = encode_link_message(message);
        this->bytes += encoded.size();
        const auto delay = delay_of(message);
        if (!delay)
        {
            return;
        }
        boost::asio::co_spawn(
            this->run.executor(),
            deliver_after(this->run, encoded, *delay, std::move(deliver)),
            boost::asio::detached);
    }

    static boost::asio::awaitable<void>
    deliver_after(virtual_runtime& run, std::string encoded, microseconds delay,
                  std::function<void(const link_message&)> deliver)
    {
        virtual_runtime::timer timer(run.executor());
        timer.expires_after(delay);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        const auto message =
            decode_link_message(encoded, scripted_targets::now());
        REQUIRE(message);
        deliver(*message);
    }

    boost::asio::awaitable<void>
    answer(std::shared_ptr<const caller_query> query,
           std::shared_ptr<caller_presence> presence)
    {
        caller_reply reply = co_await this->queries.answer(query, presence);
        this->answered_at.push_back(scripted_targets::now() - query->arrived);
        this->replies.push_back(std::move(reply));
    }

    std::shared_ptr<far_link> link;
    std::size_t started = 0;
};

} // namespace basilpath::test
