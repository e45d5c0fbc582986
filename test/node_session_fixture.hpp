/// Fixture that runs the sessions of a node against scripted replicas.
#pragma once

#include "node/process/node_metrics.hpp"
#include "node/process/query_service.ipp"
#include "node/process/request_log.hpp"
#include "sample_query.hpp"
#include "scripted_targets.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace basilpath::test
{

/// Routes: /all/ over shards s0, s1, ...; /one/ idempotent and /order/ not
/// idempotent, both to the service "one" with replicas one-a and one-b.
class node_session_fixture
{
public:
    using services = request_services<virtual_runtime, scripted_targets>;

    explicit node_session_fixture(std::size_t shards = 4, double least = 0.75)
    {
        for (std::size_t i = 0; i < shards; ++i)
        {
            const std::string service = fmt::format("s{}", i);
            this->targets.add(service + "-a", service, "a");
            this->targets.add(service + "-b", service, "b");
        }
        this->targets.add("one-a", "one", "a");
        this->targets.add("one-b", "one", "b");
        this->queries.set_routes(make_table(shards, least));
        this->budget.set_slack_share(0.5);
    }

    static std::shared_ptr<const route_table> make_table(std::size_t shards,
                                                         double least)
    {
        route all;
        all.name = "all";
        all.host = "h";
        all.prefix = "/all/";
        all.idempotent = true;
        all.timeout = 1500ms;
        all.objective = 100ms;
        all.attempts = 2;
        for (std::size_t i = 0; i < shards; ++i)
        {
            all.gather.shards.emplace_back(fmt::format("s{}", i));
        }
        all.gather.most_records = 10;
        all.gather.least = coverage(least);
        route one = all;
        one.name = "one";
        one.prefix = "/one/";
        one.gather = {};
        one.parts = {{service_name("one"), 1.0}};
        route order = one;
        order.name = "order";
        order.prefix = "/order/";
        order.idempotent = false;
        return std::make_shared<const route_table>(
            document_number(1), std::vector<route>{all, one, order},
            std::map<service_name, service_rule>{}, caller_limits{});
    }

    /// Starts a request whose caller waits for `caller_timeout`.
    void start(const std::string& target, milliseconds caller_timeout = 1500ms)
    {
        const auto query = sample_query(target, this->started++, caller_timeout,
                                        scripted_targets::now());
        this->caller = std::make_shared<caller_presence>(0us, 0us);
        boost::asio::co_spawn(this->run.executor(),
                              this->answer(query, this->caller),
                              boost::asio::detached);
    }

    virtual_runtime run;
    scripted_targets targets{run};

    /// Receives the messages to other hosts.
    delegate_pool::sender send_link =
        [](const peer_address&, const link_message&)
    {
        return stream_position(0);
    };
    retry_budget budget{{0.2, 10.0, 10'000ms}};
    request_log log;
    node_metrics metrics;
    crash_detector crashes{[this](const suspected_crash& one)
                           {
                               this->suspected_crashes.push_back(one);
                           }};
    delegate_pool delegates{
        peer_address("a:1"),
        [this](const peer_address& to, const link_message& message)
        {
            return this->send_link(to, message);
        }};
    services shared{run, targets, budget, log, metrics, crashes, delegates};
    query_service<virtual_runtime, scripted_targets> queries{shared};
    std::shared_ptr<caller_presence> caller;
    std::vector<caller_reply> replies;
    std::vector<microseconds> answered_at;
    std::vector<suspected_crash> suspected_crashes;

private:
    boost::asio::awaitable<void>
    answer(std::shared_ptr<const caller_query> query,
           std::shared_ptr<caller_presence> presence)
    {
        caller_reply reply = co_await this->queries.answer(query, presence);
        this->targets.record.add(fmt::format(
            "{} answered {} parts {} missing {}", query->id.value, reply.status,
            reply.part_signatures.size(), reply.missing_parts.value_or(0)));
        this->answered_at.push_back(scripted_targets::now() - instant{});
        this->replies.push_back(std::move(reply));
    }

    std::size_t started = 0;
};

} // namespace basilpath::test
