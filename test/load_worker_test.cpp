#include "connection/http_server.hpp"
#include "load/load_plan.hpp"
#include "load/load_worker.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace
{

using namespace basilpath;
using namespace basilpath::load;

/// An entry host that holds all queries until `wanted` of them have arrived.
class batching_entry_host
{
public:
    explicit batching_entry_host(std::size_t wanted)
        : wanted(wanted), work(this->context.get_executor()),
          server(this->context, {"127.0.0.1:0"},
                 [this](std::shared_ptr<http_exchange> exchange)
                 { this->serve(std::move(exchange)); }),
          thread([this] { this->context.run(); })
    {
    }

    ~batching_entry_host()
    {
        this->context.stop();
        this->thread.join();
    }

    batching_entry_host(const batching_entry_host&) = delete;
    batching_entry_host& operator=(const batching_entry_host&) = delete;

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", this->server.port());
    }

private:
    void serve(std::shared_ptr<http_exchange> exchange)
    {
        if (exchange->path == "/v1/directory")
        {
            const nlohmann::json answer = {
                {"hosts", {{{"address", this->address()}, {"weight", 1.0}}}},
                {"keep_ms", 60'000},
                {"tokens", {"token-1"}}};
            exchange->reply({200, answer.dump(), "application/json", {}});
            return;
        }
        this->pending.push_back(std::move(exchange));
        if (this->pending.size() == this->wanted)
        {
            for (const auto& one : this->pending)
            {
                one->reply({200, answer_to(one->body), "application/json", {}});
            }
        }
    }

    // Returns an answer that echoes the name and the token of the request.
    static std::string answer_to(const std::string& body)
    {
        const auto query = nlohmann::json::parse(body);
        const nlohmann::json item = {{"id", "x"}, {"shard", 0}, {"version", 3}};
        return nlohmann::json({{"request", query.at("request")},
                               {"code", 0},
                               {"coverage", 1.0},
                               {"version", 3},
                               {"token", query.value("token", "")},
                               {"items", {item, item}}})
            .dump();
    }

    std::size_t wanted;
    std::vector<std::shared_ptr<http_exchange>> pending;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    http_server server;
    std::thread thread;
};

TEST_CASE("load is open loop and answers are matched to requests")
{
    load_plan plan;
    plan.mixes.resize(1);
    plan.mixes[0].deadline = milliseconds(30'000);
    plan.mixes[0].resend_after = milliseconds(1);
    std::vector<arrival> arrivals;
    for (std::uint64_t number = 0; number < 8; ++number)
    {
        arrivals.push_back(
            {number, microseconds(number * 500), 0, "subject", number == 7});
    }
    const batching_entry_host entry(9);
    load_worker worker(plan, {{entry.address()}, 2}, arrivals, 1);
    worker.prepare();
    worker.run(std::chrono::steady_clock::now());
    REQUIRE(worker.outcomes().size() == 8);
    CHECK(worker.unsent() == 0);
    for (const auto& outcome : worker.outcomes())
    {
        const std::size_t sends = outcome->scheduled.resend ? 2 : 1;
        CHECK(outcome->sends == sends);
        REQUIRE(outcome->answers.size() == sends);
        const caller_answer& answer = outcome->answers.front();
        CHECK(answer.code == 0U);
        CHECK(answer.request == answer.sent_name);
        CHECK(answer.items == 2);
        CHECK(answer.foreign_items == 2);
        CHECK(answer.origins ==
              std::vector{item_origin{shard_number(0), version_number(3)}});
    }
}

TEST_CASE("a caller stops without an answer if no host is reachable")
{
    load_plan plan;
    plan.mixes.resize(1);
    load_worker worker(plan, {{"127.0.0.1:1"}, 1},
                       {{0, microseconds(0), 0, "subject", false}}, 1);
    worker.prepare();
    worker.run(std::chrono::steady_clock::now());
    REQUIRE(worker.outcomes().size() == 1);
    const auto& answers = worker.outcomes()[0]->answers;
    REQUIRE_FALSE(answers.empty());
    CHECK(answers.back().transport == http_outcome::connect_failed);
    CHECK_FALSE(answers.back().code);
}

} // namespace
