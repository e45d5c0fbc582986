/// One entry process in virtual time, with a small document, three hosts and
/// scripted relays.
#pragma once

#include "golden.hpp"
#include "request/execute_session.ipp"
#include "request/query_session.ipp"
#include "scripted_peers.hpp"
#include "version/document_parser.hpp"

#include <memory>
#include <string>

namespace basilpath::test
{

inline constexpr std::string_view small_document = R"(
[deployment]
name = small
version = 7
[service search]
kind = fanout
merge = top
item_limit = 4
owner_hosts = 3
[service ledger]
kind = lookup
accepts_execute = yes
owner_hosts = 3
[class browse]
service = search
worth = 1
deadline_ms = 200
objective_ms = 170
objective_share = 0.99
[class redeem]
service = ledger
worth = 10
deadline_ms = 200
objective_ms = 170
objective_share = 0.99
[leaves search]
slots = 2
connections = 25
connect_us = 1000
s0a = east
s0b = west
s1a = east
s1b = west
s2a = east
s2b = west
[shards search/2]
0 = s0a s0b
1 = s1a s1b
2 = s2a s2b
[shards search/1]
0 = s0a s0b
1 = s1a s1b
[leaves ledger]
slots = 2
connections = 25
connect_us = 1000
l0 = east
l1 = west
[shards ledger/1]
0 = l0 l1
)";

/// Runs sessions of the entry on host `h1` and records all they do.
struct entry_fixture
{
    using context = entry_context<virtual_runtime, scripted_peers>;
    using query = query_session<virtual_runtime, scripted_peers>;
    using execute = execute_session<virtual_runtime, scripted_peers>;
    using home_type = home<virtual_runtime, scripted_peers>;

    virtual_runtime run;
    scripted_peers peers{run};
    std::shared_ptr<system_state> state = make_state();
    std::shared_ptr<context> shared = std::make_shared<context>(
        context{run, peers, host_id("h1"), incarnation(0xa1),
                [this]
                {
                    return this->state;
                }});
    std::shared_ptr<home_type> own_home =
        std::make_shared<home_type>(shared, "secret", outcome_limit);
    std::shared_ptr<query> last_query;

    static constexpr std::size_t outcome_limit = 4;

    /// Hosts h1 to h3, all leaves live, the document in force.
    static std::shared_ptr<system_state>
    make_state(std::string_view text = small_document)
    {
        auto made = std::make_shared<system_state>();
        auto hosts = std::make_shared<host_list>();
        for (const std::string id : {"h1", "h2", "h3"})
        {
            host one;
            one.id = host_id(id);
            one.domain = failure_domain(id == "h2" ? "west" : "east");
            one.relay = peer_address("relay-" + id);
            one.entry = peer_address("entry-" + id);
            hosts->hosts.push_back(one);
        }
        made->hosts = hosts;
        const parsed_document parsed = parse_document(text);
        for (const document_fault& fault : parsed.faults)
        {
            FAIL_CHECK(fault.line << ": " << fault.message);
        }
        made->configuration = parsed.value;
        auto targets = std::make_shared<target_list>();
        for (const auto& [id, one] : parsed.value->leaves)
        {
            targets->entries[id].address = http_address("127.0.0.1:1");
        }
        made->targets = targets;
        return made;
    }

    /// Starts a request that may run at once; its answer goes into the record.
    void start(const caller_request& request)
    {
        if (request.kind == request_kind::execute)
        {
            this->start_session(std::make_shared<execute>(
                this->shared, this->own_home, request, virtual_clock::now()));
            return;
        }
        this->shared->proven.add(request.print);
        this->last_query = std::make_shared<query>(this->shared, request,
                                                   virtual_clock::now());
        this->start_session(this->last_query);
    }

    /// Runs a session; its answer goes into the record.
    template <class Session>
    void start_session(std::shared_ptr<Session> session)
    {
        boost::asio::co_spawn(
            this->run.executor(),
            [](entry_fixture* self,
               std::shared_ptr<Session> one) -> boost::asio::awaitable<void>
            {
                const query_answer answer = co_await one->run();
                self->peers.write("answer {}", to_json_text(answer));
            }(this, std::move(session)),
            boost::asio::detached);
    }

    /// Starts a query; its answer goes into the record.
    void start_query(const std::string& body, bool proven = true)
    {
        auto parsed = parse_caller_request(body, request_kind::query,
                                           *this->state->configuration);
        REQUIRE(parsed.value);
        if (proven)
        {
            this->shared->proven.add(parsed.value->print);
        }
        const auto session = std::make_shared<query>(
            this->shared, *parsed.value, virtual_clock::now());
        this->last_query = session;
        boost::asio::co_spawn(
            this->run.executor(),
            [](entry_fixture* self,
               std::shared_ptr<query> one) -> boost::asio::awaitable<void>
            {
                const query_answer answer = co_await one->run();
                self->peers.write("answer {}", to_json_text(answer));
            }(this, session),
            boost::asio::detached);
    }

    /// Starts a request to execute; its answer goes into the record.
    void start_execute(const std::string& key, const std::string& token,
                       const std::string& ticket = "t1")
    {
        auto parsed = parse_caller_request(
            fmt::format(R"({{"service":"ledger","class":"redeem","key":"{}",)"
                        R"("token":"{}","query":{{"key":"{}"}}}})",
                        key, token, ticket),
            request_kind::execute, *this->state->configuration);
        REQUIRE(parsed.value);
        const auto session = std::make_shared<execute>(
            this->shared, this->own_home, *parsed.value, virtual_clock::now());
        boost::asio::co_spawn(
            this->run.executor(),
            [](entry_fixture* self,
               std::shared_ptr<execute> one) -> boost::asio::awaitable<void>
            {
                const query_answer answer = co_await one->run();
                self->peers.write("answer {}", to_json_text(answer));
            }(this, session),
            boost::asio::detached);
    }

    /// Delivers a relay's results.
    void deliver(const std::string& from, const wire::ShardResults& results)
    {
        wire::Envelope message;
        *message.mutable_shard_results() = results;
        const bool known = this->shared->router.deliver(
            request_id(results.request()),
            {peer_address(from), incarnation(1), std::move(message)});
        for (const wire::ShardResult& one : results.results())
        {
            this->peers.write("{} result shard={} code={} version={}{}", from,
                              one.shard(), one.code(), one.version(),
                              known ? "" : " (no such request)");
        }
    }

    /// Delivers the outcome of a request to execute.
    void deliver(const std::string& from, const std::string& request,
                 result_code code)
    {
        wire::Envelope message;
        wire::LeafExecuteResult& result =
            *message.mutable_leaf_execute_result();
        result.set_request(request);
        result.set_code(static_cast<std::uint32_t>(code));
        result.set_version(1);
        result.set_items(R"([{"redeemed":true}])");
        const bool known = this->shared->router.deliver(
            request_id(request),
            {peer_address(from), incarnation(1), std::move(message)});
        this->peers.write("{} outcome {} {}{}", from, request, info(code).name,
                          known ? "" : " (no such request)");
    }

    /// The full result of one shard.
    static wire::ShardResult result_of(const wire::ShardQuery& asked,
                                       std::uint32_t shard)
    {
        wire::ShardResult one;
        one.set_shard(shard);
        one.set_version(asked.version());
        one.set_leaf(fmt::format("s{}a", shard));
        one.set_attempts(1);
        one.set_items(fmt::format(
            R"([{{"shard":{0},"score":{1}}},{{"shard":{0},"score":0}}])", shard,
            shard + 1));
        return one;
    }

    /// Answers every shard query in full after a delay.
    void answer_all(microseconds delay)
    {
        this->peers.script =
            [this, delay](const peer_address& to, const wire::Envelope& message)
        {
            if (message.has_shard_query())
            {
                const wire::ShardQuery& asked = message.shard_query();
                this->peers.after(
                    delay,
                    [this, to, asked]
                    {
                        wire::ShardResults results;
                        results.set_request(asked.request());
                        results.set_attempt(asked.attempt());
                        for (const std::uint32_t shard : asked.shards())
                        {
                            *results.add_results() = result_of(asked, shard);
                        }
                        this->deliver(to.value, results);
                    });
            }
        };
    }

    /// Answers every request to execute after a delay.
    void execute_all(microseconds delay, result_code code)
    {
        this->peers.script = [this, delay, code](const peer_address& to,
                                                 const wire::Envelope& asked)
        {
            if (asked.has_leaf_execute())
            {
                const std::string request = asked.leaf_execute().request();
                this->peers.after(delay, [this, to, request, code]
                                  { this->deliver(to.value, request, code); });
            }
        };
    }
};

} // namespace basilpath::test
