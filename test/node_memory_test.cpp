#include "target_pool_fixture.hpp"

#include "node/process/memory_budget.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

std::shared_ptr<memory_budget::account>
make_account(const std::shared_ptr<memory_budget>& budget)
{
    return std::make_shared<memory_budget::account>(budget);
}

TEST_CASE("holders share the bound equally, and there is room for one more")
{
    const auto budget = std::make_shared<memory_budget>(1'000'000);
    const std::size_t holders = GENERATE(1, 2, 7, 60);
    std::vector<std::unique_ptr<memory_charge>> charges;
    for (std::size_t i = 0; i < holders; ++i)
    {
        charges.push_back(
            std::make_unique<memory_charge>(make_account(budget), 0));
    }
    for (int round = 0; round < 2'000; ++round)
    {
        for (const auto& one : charges)
        {
            // A refused resize changes nothing.
            static_cast<void>(one->try_resize(one->size() + 1'000));
        }
    }
    CHECK(budget->held() <= budget->limit());
    CHECK(budget->refused() > 0);
    const auto smallest = std::ranges::min_element(
        charges, {}, [](const auto& one) { return one->size(); });
    CHECK((*smallest)->size() + 2'000 >= 1'000'000 / (holders + 1));
    memory_charge late(make_account(budget), 0);
    CHECK(late.try_resize(1'000'000 / (holders + 1) / 2 - 1'000));
    charges.clear();
    CHECK(budget->held() == late.size());
}

TEST_CASE("a message within its allowance is held whatever is free")
{
    const auto budget = std::make_shared<memory_budget>(1'000);
    memory_charge large(make_account(budget), 0);
    REQUIRE(large.try_resize(500));
    CHECK_FALSE(large.try_resize(501));
    CHECK(large.size() == 500);
    memory_charge small(make_account(budget), 800);
    CHECK(small.try_resize(800));
    CHECK(budget->held() == 500);
    CHECK_FALSE(small.try_resize(1'051));
    CHECK(small.try_resize(1'050));
    CHECK(budget->held() == 750);
    CHECK(small.try_resize(10));
    CHECK(budget->held() == 500);
}

// Guards against small messages that took all of the bound, so that no larger
// one had room.
TEST_CASE("allowances take no room from larger messages")
{
    const auto budget = std::make_shared<memory_budget>(1'000);
    std::vector<std::unique_ptr<memory_charge>> small;
    for (int i = 0; i < 2'000; ++i)
    {
        small.push_back(
            std::make_unique<memory_charge>(make_account(budget), 100));
        REQUIRE(small.back()->try_resize(100));
    }
    memory_charge large(make_account(budget), 100);
    CHECK(large.try_resize(600));
}

// Guards against replicas that send without end: each answer was bounded, but
// their sum took all memory of the host.
TEST_CASE("answers without end stay within the memory for messages, and good "
          "answers arrive beside them")
{
    constexpr std::size_t bound = 3'000'000;
    constexpr std::size_t faulty = 6;
    const std::string head = GENERATE(
        as<std::string>{}, "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1e0000\r\n");
    const std::string large(100'000, 'g');
    pool_fixture node([&large](const std::string&, std::size_t)
                      { return raw_action{answer(large)}; },
                      bound);
    std::vector<std::unique_ptr<raw_server>> servers;
    for (std::size_t i = 0; i < faulty; ++i)
    {
        servers.push_back(std::make_unique<raw_server>(
            node.context, [&head](const std::string&, std::size_t)
            { return raw_action{head + std::string(1'500'000, 'x')}; }));
        const std::string id = "bad-" + std::to_string(i);
        node.add_replica(id, *servers.back());
        for (int call = 0; call < 4; ++call)
        {
            // Only the bound on memory ends the call.
            node.start(id, false, 1h, id);
        }
    }
    std::size_t most = 0;
    std::size_t good = 0;
    for (int i = 0; i < 10; ++i)
    {
        const std::size_t before = node.results.size();
        node.start("good", false, 1h);
        node.run(
            [&]
            {
                most = std::max(most, node.memory->held());
                return std::ranges::any_of(
                    node.results.begin() + static_cast<std::ptrdiff_t>(before),
                    node.results.end(),
                    [&large](const target_result& one)
                    { return one.reply.body == large; });
            });
        good = static_cast<std::size_t>(std::ranges::count_if(
            node.results, [&large](const target_result& one)
            { return one.reply.body == large; }));
    }
    CHECK(good == 10);
    CHECK(most <= bound);
    CHECK(node.memory->refused() > 0);
    const auto broken =
        std::ranges::count(node.results, call_end::broken, &target_result::end);
    CHECK(broken > 0);
}

} // namespace
