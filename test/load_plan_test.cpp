#include "load/arrival.hpp"
#include "load/load_plan.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace
{

using namespace basilpath;
using namespace basilpath::load;

constexpr auto rate_step_plan =
    "[load]\nseed = 7\nduration_ms = 3000\n"
    "[mix browse]\nservice = catalogue\n"
    "class = browse\nrate = 1000\nrepeat_share = 0.5\n"
    "[step up]\nat_ms = 1000\nfactor = 2\n"
    "[step down]\nat_ms = 2000\nfactor = 0.5\n"
    "[action slow]\nat_ms = 5\npath = /standin/fault\n"
    "body = {\"kind\":\"slow\"}\n";

// Parses a plan without errors.
load_plan valid_plan(std::string_view bytes)
{
    std::string reason;
    return parse_load_plan(bytes, &reason).value();
}

// Counts the arrivals in the second from `from` on.
auto arrivals_in(const std::vector<arrival>& all, milliseconds from)
{
    return std::ranges::count_if(
        all, [from](const arrival& one)
        { return one.at >= from && one.at < from + milliseconds(1000); });
}

TEST_CASE("a load plan contains mixes, steps and actions")
{
    const load_plan plan = valid_plan(rate_step_plan);
    REQUIRE(plan.mixes.size() == 1);
    CHECK(plan.mixes[0].name == "browse");
    CHECK(plan.mixes[0].service.value == "catalogue");
    REQUIRE(plan.steps.size() == 2);
    CHECK(plan.steps[1].factor == 0.5);
    REQUIRE(plan.actions.size() == 1);
    CHECK(plan.actions[0].body == "{\"kind\":\"slow\"}");
}

TEST_CASE("parsing a load plan reports all errors")
{
    std::string reason;
    CHECK_FALSE(parse_load_plan("[load]\nseed = x\n[mix a]\nrate = -1\n"
                                "colour = red\n[other]\nx = 1\n",
                                &reason));
    CHECK(reason == "line 2: seed=x is not accepted; line 4: rate=-1 is not "
                    "accepted; line 5: unknown key colour in [mix a]; line 7: "
                    "unknown key x in [other]; ");
}

TEST_CASE("arrivals depend on the seed and the rate steps")
{
    load_plan plan = valid_plan(rate_step_plan);
    const auto first = make_arrivals(plan);
    const auto second = make_arrivals(plan);
    CHECK(std::ranges::equal(first, second, {}, &arrival::at, &arrival::at));
    CHECK(std::ranges::is_sorted(first, {}, &arrival::at));
    CHECK(std::abs(arrivals_in(first, milliseconds(0)) - 1000) < 130);
    CHECK(std::abs(arrivals_in(first, milliseconds(1000)) - 2000) < 180);
    CHECK(std::abs(arrivals_in(first, milliseconds(2000)) - 500) < 90);
    plan.seed = 8;
    const auto other = make_arrivals(plan);
    CHECK_FALSE(
        std::ranges::equal(first, other, {}, &arrival::at, &arrival::at));
}

TEST_CASE("the repeated share of the arrivals uses few subjects")
{
    const load_plan plan = valid_plan(rate_step_plan);
    const auto all = make_arrivals(plan);
    std::vector<std::string> subjects;
    std::ranges::transform(all, std::back_inserter(subjects),
                           [](const arrival& one) { return one.subject; });
    std::ranges::sort(subjects);
    const auto same = std::ranges::unique(subjects);
    const double repeated =
        static_cast<double>(same.size() + 20) / static_cast<double>(all.size());
    CHECK(repeated == Approx(0.5).margin(0.05));
}

} // namespace
