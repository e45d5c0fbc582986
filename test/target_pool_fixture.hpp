/// A target_pool with scripted replicas on loopback.
#pragma once

#include "leaf_codec.hpp"
#include "node/process/target_pool.ipp"
#include "raw_server.hpp"

#include <fmt/format.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace basilpath::test
{

using namespace std::chrono_literals;

/// A position in the only era of a store.
inline store_position at_revision(store_revision revision)
{
    return {store_era(1), revision};
}

/// A pool with one replica, which is a scripted server on loopback.
struct pool_fixture
{
    explicit pool_fixture(
        raw_server::behaviour behave,
        std::size_t memory_bound = memory_budget::default_bound)
        : server(context, std::move(behave)),
          memory(std::make_shared<memory_budget>(memory_bound)),
          pool(context, failure_domain("a"), peer_address("a:1"), traffic,
               memory)
    {
        this->pool.start();
        this->pool.set_serving_hosts(1, true);
        this->pool.set_routes(std::make_shared<const route_table>(
            document_number(1), std::vector<route>{},
            std::map<service_name, service_rule>{
                {service_name("s"), {"/health", 5}}},
            caller_limits{}));
        this->add_replica("i-1", this->server);
    }

    void add_replica(const std::string& id, const raw_server& at)
    {
        this->add_replica(id, at.address());
    }

    void add_replica(const std::string& id, const std::string& address)
    {
        this->pool.set_replica(describe(id, address));
    }

    [[nodiscard]] static replica describe(const std::string& id,
                                          const std::string& address)
    {
        replica one;
        one.id = leaf_id(id);
        one.service = service_name("s");
        one.address = http_address(address);
        one.slots = 4;
        return one;
    }

    std::shared_ptr<target_call> start(const std::string& id,
                                       bool needs_reliable_connection = false,
                                       microseconds timeout = 2s,
                                       const std::string& to = "i-1")
    {
        return this->start(this->query(id), needs_reliable_connection, timeout,
                           to);
    }

    [[nodiscard]] static std::shared_ptr<caller_query>
    query(const std::string& id)
    {
        auto made = std::make_shared<caller_query>();
        made->method = "GET";
        made->target = "/x";
        made->id = request_id(id);
        made->headers = {{"Host", "h"}, {"X-Request-Id", id}};
        return made;
    }

    std::shared_ptr<target_call>
    start(const std::shared_ptr<const caller_query>& query,
          bool needs_reliable_connection = false, microseconds timeout = 2s,
          const std::string& to = "i-1")
    {
        auto call = std::make_shared<target_call>();
        call->query = query;
        call->to = leaf_id(to);
        call->route = "r";
        call->needs_reliable_connection = needs_reliable_connection;
        call->deadline = to_instant(std::chrono::steady_clock::now()) + timeout;
        call->soft_deadline = call->deadline;
        call->done = [this](target_result result)
        {
            this->results.push_back(std::move(result));
        };
        this->pool.send(call);
        return call;
    }

    // Runs until there are this many results, for a few seconds at most.
    void await_results(std::size_t count)
    {
        this->run([this, count] { return this->results.size() >= count; });
    }

    template <class Condition>
    void run(Condition done)
    {
        for (int i = 0; i < 5000 && !done(); ++i)
        {
            this->context.run_for(2ms);
        }
    }

    boost::asio::io_context context;
    raw_server server;
    traffic_meter traffic;
    std::shared_ptr<memory_budget> memory;
    target_pool<platform::leaf_codec> pool;
    std::vector<target_result> results;
};

inline std::string answer(const std::string& body, const std::string& id = "",
                          const std::string& more = "")
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Response-Signature: sig\r\n{}{}"
                       "Content-Length: {}\r\n\r\n{}",
                       id.empty() ? "" : "X-Request-Id: " + id + "\r\n", more,
                       body.size(), body);
}

} // namespace basilpath::test
