#include "load/oracle.hpp"

#include "load/load_plan.hpp"
#include "version/document.hpp"
#include "version/index_version.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace basilpath::load
{

namespace
{

constexpr milliseconds oracle_step{5};

/// A request in an oracle queue, ordered by descending worth, then by deadline.
struct waiting_request
{
    double worth = 0.0;
    microseconds until{0};
    const arrival* scheduled = nullptr;

    bool operator<(const waiting_request& other) const
    {
        return std::tie(other.worth, this->until, this->scheduled->number) <
               std::tie(this->worth, other.until, other.scheduled->number);
    }
};

/// The oracle's queue of one service.
class oracle_queue
{
public:
    explicit oracle_queue(double capacity_per_second)
        : credit_per_step(capacity_per_second *
                          std::chrono::duration<double>(oracle_step).count())
    {
    }

    void add(const waiting_request& request)
    {
        this->waiting.insert(request);
    }

    // Serves as many requests as the capacity of one step allows. Returns the
    // worth served of requests scheduled from `from` to `until`.
    double step(microseconds now, microseconds from, microseconds until)
    {
        std::erase_if(this->waiting, [now](const waiting_request& request)
                      { return request.until < now; });
        this->credit = std::min(this->credit, 1.0) + this->credit_per_step;
        double served = 0.0;
        while (this->credit >= 1.0 && !this->waiting.empty())
        {
            const waiting_request first =
                this->waiting.extract(this->waiting.begin()).value();
            const microseconds at = first.scheduled->at;
            served += at >= from && at < until ? first.worth : 0.0;
            this->credit -= 1.0;
        }
        return served;
    }

private:
    double credit_per_step;
    double credit = 0.0;
    std::set<waiting_request> waiting;
};

// Returns the mean of the log-normal service time, in seconds.
double mean_service_s(const target_speed& speed)
{
    return speed.service_ms / 1e3 * std::exp(speed.sigma * speed.sigma / 2.0);
}

// Returns the total slots of all replicas of a shard.
double slots_of(const document& configuration, const shard& one)
{
    return std::accumulate(
        one.leaves.begin(), one.leaves.end(), 0.0,
        [&configuration](double sum, const leaf_id& id)
        {
            const leaf* const replica = configuration.find_leaf(id);
            return sum + (replica == nullptr ? 0 : replica->slots);
        });
}

// Returns the queues of all services that the plan uses.
std::map<service_name, oracle_queue> make_queues(const load_plan& plan,
                                                 const document& configuration)
{
    std::map<service_name, oracle_queue> queues;
    for (const traffic_mix& mix : plan.mixes)
    {
        const service* const wanted = configuration.find_service(mix.service);
        const double capacity =
            wanted == nullptr
                ? 0.0
                : capacity_per_second(configuration, *wanted, plan.targets);
        queues.try_emplace(mix.service, capacity);
    }
    return queues;
}

} // namespace

double capacity_per_second(const document& configuration, const service& wanted,
                           const target_speed& speed)
{
    const index_version& version = *wanted.versions.front();
    std::vector<double> slots;
    std::ranges::transform(version.shards, std::back_inserter(slots),
                           [&configuration](const shard& one)
                           { return slots_of(configuration, one); });
    const double usable_slots =
        wanted.kind == service_kind::fanout
            ? *std::ranges::min_element(slots)
            : std::accumulate(slots.begin(), slots.end(), 0.0);
    return usable_slots / mean_service_s(speed);
}

double oracle_service(const load_plan& plan, const document& configuration,
                      const std::vector<arrival>& arrivals, microseconds from,
                      microseconds until)
{
    auto queues = make_queues(plan, configuration);
    double offered = 0.0;
    double served = 0.0;
    auto next = arrivals.begin();
    const microseconds end = plan.duration + milliseconds(10'000);
    for (microseconds now{0}; now < end; now += oracle_step)
    {
        for (; next != arrivals.end() && next->at <= now; ++next)
        {
            const traffic_mix& mix = plan.mixes[next->mix];
            queues.at(mix.service)
                .add({mix.value.value, next->at + mix.deadline, &*next});
            offered +=
                next->at >= from && next->at < until ? mix.value.value : 0.0;
        }
        for (auto& [name, queue] : queues)
        {
            served += queue.step(now, from, until);
        }
    }
    return offered > 0.0 ? served / offered : 1.0;
}

} // namespace basilpath::load
