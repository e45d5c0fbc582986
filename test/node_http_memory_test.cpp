/// Requests of callers and the memory of a host.
#include "http_server_fixture.hpp"
#include "node/process/memory_budget.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// Guards against callers whose bodies, each within its limit, took all memory
// of the host together.
TEST_CASE("a request that finds no memory is refused as not run, others are "
          "answered")
{
    constexpr std::size_t callers = 12;
    server_fixture node;
    const auto budget = std::make_shared<memory_budget>(200'000);
    node.server.set_memory(std::make_shared<memory_budget::account>(budget));
    const std::string begin = "POST /part HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 60000\r\n\r\n" +
                              std::string(50'000, 'b');
    std::vector<asio::ip::tcp::socket> others;
    std::vector<std::string> replies(callers);
    std::size_t most = 0;
    for (std::size_t i = 0; i < callers; ++i)
    {
        others.emplace_back(node.context);
        others.back().connect(node.server.local_endpoint());
        asio::write(others.back(), asio::buffer(begin));
        others.back().non_blocking(true);
    }
    std::size_t refused = 0;
    node.receive(
        [&]
        {
            most = std::max(most, budget->held());
            for (std::size_t i = 0; i < callers; ++i)
            {
                std::array<char, 4096> chunk{};
                boost::system::error_code error;
                const auto count =
                    others[i].read_some(asio::buffer(chunk), error);
                replies[i].append(chunk.data(), count);
            }
            refused = static_cast<std::size_t>(std::ranges::count_if(
                replies, [](const std::string& one)
                { return one.find("\r\n\r\n") != std::string::npos; }));
            return refused >= callers - 1;
        });
    REQUIRE(refused == callers - 1);
    CHECK(most <= budget->limit());
    CHECK(node.handled_requests == 0);
    for (const std::string& one : replies)
    {
        const bool served = one.empty();
        CHECK((served || one.starts_with("HTTP/1.1 503 ")));
        CHECK((served || one.find("Retry-After: ") != std::string::npos));
    }
    // A small request is answered beside the one whose body is incomplete.
    node.send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive_text("/small");
    CHECK(node.received.find("/small") != std::string::npos);
    others.clear();
    node.receive([&budget] { return budget->held() == 0; });
    CHECK(budget->held() == 0);
}

// Guards against callers that do not read, whose answers took the room of
// others.
TEST_CASE("an answer that is not read is given up soon while memory is scarce")
{
    const bool scarce = GENERATE(false, true);
    server_fixture node;
    const auto budget = std::make_shared<memory_budget>(100'000);
    const auto account = std::make_shared<memory_budget::account>(budget);
    node.server.set_memory(account);
    account->take(scarce ? 30'000 : 20'000);
    node.padding = std::string(8'000'000, 'x');
    node.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive([&node] { return node.handled_requests == 1; });
    node.context.run_for(milliseconds(20));
    node.server.close_expired(to_instant(std::chrono::steady_clock::now()) +
                              milliseconds(1'100));
    node.context.run_for(milliseconds(20));
    CHECK(node.server.busy_count() == (scarce ? 0u : 1u));
}

} // namespace
