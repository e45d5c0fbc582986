#include "process/slow_replicas.hpp"

#include "connection/leaf_state.hpp"

#include <algorithm>
#include <optional>

namespace basilpath
{

namespace
{

constexpr double slow_factor = 2.5;
constexpr double recovered_factor = 1.5;

// The least median latency of the peers that are in use.
std::optional<microseconds>
best_peer(const leaf_state& subject,
          std::span<const std::shared_ptr<leaf_state>> replicas, instant now)
{
    std::optional<microseconds> best;
    for (const auto& peer : replicas)
    {
        if (peer.get() == &subject || peer->put_aside || !peer->usable(now))
        {
            continue;
        }
        const auto median = peer->latency.median(now);
        if (median && (!best || *median < *best))
        {
            best = median;
        }
    }
    return best;
}

// Tells whether one more replica may be put aside.
bool may_put_aside(std::span<const std::shared_ptr<leaf_state>> replicas)
{
    const auto aside =
        std::ranges::count_if(replicas, &leaf_state::put_aside,
                              &std::shared_ptr<leaf_state>::operator*);
    return 2 * (static_cast<std::size_t>(aside) + 1) <= replicas.size();
}

} // namespace

slowness_change
judge_slowness(leaf_state& subject,
               std::span<const std::shared_ptr<leaf_state>> replicas,
               instant now)
{
    const auto own = subject.put_aside && !subject.latency.median(now)
                         ? std::optional(subject.aside_latency)
                         : subject.latency.median(now);
    const auto peers = best_peer(subject, replicas, now);
    if (!own || !peers)
    {
        return slowness_change::none;
    }
    const double ratio =
        static_cast<double>(own->count()) /
        static_cast<double>(std::max<std::int64_t>(1, peers->count()));
    if (!subject.put_aside && ratio >= slow_factor && may_put_aside(replicas))
    {
        subject.put_aside = true;
        subject.aside_latency = *own;
        subject.latency.clear();
        return slowness_change::put_aside;
    }
    if (subject.put_aside && ratio <= recovered_factor)
    {
        subject.put_aside = false;
        return slowness_change::taken_back;
    }
    return slowness_change::none;
}

} // namespace basilpath
