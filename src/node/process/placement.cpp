#include "node/process/placement.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Part of that cost which a replica saves that stands where others of the
// query are asked through one host: its bytes are merged with theirs.
constexpr microseconds grouping_gain = 5ms;

// Replicas whose expected times differ by less are taken in turn, so that
// hosts with the same view do not all choose the same one.
constexpr microseconds random_spread = 2ms;

// Failures a call at which a replica keeps nothing of the preference for its
// domain beyond the usual cost of distance: each takes a repeat.
constexpr double failing_rate = 0.25;

// A replica that may be gone is taken only when nothing else is left.
constexpr microseconds lapsed_cost = 10s;

// What a near replica loses of a preference beyond the usual cost of distance,
// by the failures of its calls. Answers the load in which replicas of one
// domain shed calls while those of another do not.
microseconds lost_preference(const candidate& one, const placement_query& query)
{
    const double kept = static_cast<double>(
        std::max(query.distance - distance_cost, 0us).count());
    const double failing =
        std::min(1.0, one.health->failure_rate(query.now) / failing_rate);
    return microseconds(static_cast<std::int64_t>(kept * failing));
}

} // namespace

bool is_eligible(const candidate& one)
{
    return !one.health->down() && !one.target->leaving;
}

unavailable_replicas count_unavailable(std::span<const candidate> candidates,
                                       std::span<const leaf_id> asked)
{
    unavailable_replicas result;
    result.known = candidates.size();
    for (const candidate& one : candidates)
    {
        if (one.health->down())
        {
            ++result.down;
        }
        else if (one.target->leaving)
        {
            ++result.leaving;
        }
        else if (std::ranges::find(asked, one.target->id) != asked.end())
        {
            ++result.asked;
        }
    }
    return result;
}

std::optional<placement_choice>
choose_replica(std::span<const candidate> candidates,
               const placement_query& query)
{
    std::optional<placement_choice> best;
    microseconds least = microseconds::max();
    std::uint64_t random = query.random;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const candidate& one = candidates[i];
        const bool asked =
            std::ranges::find(query.asked, one.target->id) != query.asked.end();
        if (asked || !is_eligible(one))
        {
            continue;
        }
        const microseconds expected =
            one.health->expected(query.now, query.usual);
        microseconds cost = expected;
        if (query.domain && one.target->domain != *query.domain)
        {
            const bool grouped =
                query.preferred && one.target->domain == *query.preferred;
            cost += query.distance - (grouped ? grouping_gain : 0us);
        }
        else
        {
            cost += lost_preference(one, query);
        }
        if (one.lapsed)
        {
            cost += lapsed_cost;
        }
        cost += microseconds(random %
                             static_cast<std::uint64_t>(random_spread.count()));
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        if (cost < least)
        {
            least = cost;
            best = placement_choice{i, expected};
        }
    }
    return best;
}

} // namespace basilpath
