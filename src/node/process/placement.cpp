#include "node/process/placement.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Discount on the cross-domain cost of a replica in the preferred domain: one
// host there merges its bytes with those of the query's other replicas.
constexpr microseconds grouping_discount = 5ms;

// Upper bound of a random cost, so that hosts with the same view do not all
// choose the same one of nearly equal replicas.
constexpr microseconds random_jitter = 2ms;

// Failure rate at which a replica loses all preference for its domain beyond
// the usual cross-domain cost, as each failure costs a repeat.
constexpr double preference_loss_rate = 0.25;

// Cost of a replica that names a limit when another host calls it: that host
// may have to reject the call.
constexpr microseconds delegated_limit_cost = 20ms;

// Cost of a replica that names a limit, so that its requests remain for the
// time when another replica pauses.
constexpr microseconds limited_cost = 15ms;

// Keeps a request that may run once from a replica on trial, unless all others
// are delisted.
constexpr microseconds trial_penalty = 5s;

// Makes a delisted replica the last choice.
constexpr microseconds delisted_penalty = 10s;

// Makes a replica that says that it leaves the last choice, after delisted
// ones: those may be listed again.
constexpr microseconds leaving_penalty = 20s;

// Returns whether a replica has left, by its entry or by its answers.
bool has_left(const candidate& one)
{
    return one.target->leaving || one.leaving == leaving_phase::over;
}

// Returns how much of the preference beyond the usual cross-domain cost a
// replica of this host's domain loses by its failures. Needed when replicas of
// one domain shed calls while those of another do not.
microseconds preference_penalty(const candidate& one,
                                const placement_query& query)
{
    const double preference = static_cast<double>(
        std::max(query.distance - cross_domain_cost, 0us).count());
    const double lost_share = std::min(
        1.0, one.health->failure_rate(query.now) / preference_loss_rate);
    return microseconds(static_cast<std::int64_t>(preference * lost_share));
}

} // namespace

bool is_eligible(const candidate& one)
{
    return one.health->available() && !has_left(one) && !one.evacuated;
}

bool placement_query::is_delegated(const candidate& one) const
{
    return std::ranges::find(this->delegated, one.target->domain) !=
           this->delegated.end();
}

bool placement_query::admits(const candidate& one) const
{
    return this->is_delegated(one) ||
           one.limit_wait(this->now) <= this->latest_start - this->now;
}

unavailable_replicas count_unavailable(std::span<const candidate> candidates,
                                       const placement_query& query)
{
    unavailable_replicas result;
    result.known = candidates.size();
    for (const candidate& one : candidates)
    {
        if (one.evacuated)
        {
            ++result.evacuated;
        }
        else if (!one.health->available())
        {
            ++result.down;
        }
        else if (has_left(one))
        {
            ++result.leaving;
        }
        else if (std::ranges::find(query.asked, one.target->id) !=
                 query.asked.end())
        {
            ++result.asked;
        }
        else if (!query.admits(one))
        {
            ++result.limited;
        }
    }
    return result;
}

microseconds shortest_limit_wait(std::span<const candidate> candidates,
                                 instant now)
{
    microseconds shortest = microseconds::max();
    for (const candidate& one : candidates)
    {
        if (is_eligible(one))
        {
            shortest = std::min(shortest, one.limit_wait(now));
        }
    }
    return shortest;
}

std::optional<placement_choice>
choose_replica(std::span<const candidate> candidates,
               const placement_query& query)
{
    std::optional<placement_choice> best;
    microseconds lowest_cost = microseconds::max();
    std::uint64_t random = query.random;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const candidate& one = candidates[i];
        const bool asked =
            std::ranges::find(query.asked, one.target->id) != query.asked.end();
        if (asked || !is_eligible(one) || !query.admits(one))
        {
            continue;
        }
        const microseconds limit_cost = !query.is_delegated(one)
                                            ? one.limit_wait(query.now)
                                        : one.limit ? delegated_limit_cost
                                                    : 0us;
        const microseconds expected =
            one.health->expected(query.now, query.usual) + limit_cost;
        microseconds cost = expected;
        if (query.domain && one.target->domain != *query.domain)
        {
            const bool grouped =
                query.preferred && one.target->domain == *query.preferred;
            cost += query.distance - (grouped ? grouping_discount : 0us);
        }
        else
        {
            cost += preference_penalty(one, query);
        }
        if (one.limit)
        {
            cost += limited_cost;
        }
        if (!query.repeatable &&
            one.health->belief() == replica_belief::on_trial)
        {
            cost += trial_penalty;
        }
        if (one.delisted)
        {
            cost += delisted_penalty;
        }
        if (one.leaving == leaving_phase::last_choice)
        {
            cost += leaving_penalty;
        }
        cost += microseconds(random %
                             static_cast<std::uint64_t>(random_jitter.count()));
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        if (cost < lowest_cost)
        {
            lowest_cost = cost;
            best = placement_choice{i, expected};
        }
    }
    return best;
}

} // namespace basilpath
