// Configuration and fault injection of a stand-in leaf.
#include "standin/target_leaf.hpp"

#include <algorithm>

namespace basilpath::standin
{

void target_leaf::configure(const leaf& description,
                            const std::set<held_shard>& named)
{
    this->leaf_description = description;
    this->slots.resize(description.slots);
    if (this->endpoint)
    {
        this->endpoint->set_limit(description.connections);
    }
    const auto now = clock::now();
    const bool first = this->holdings.empty();
    const auto delay = std::chrono::duration_cast<clock::duration>(
        this->options.switch_spread * this->draw());
    this->holdings.assign(named, first ? now : now + delay,
                          now + this->options.version_keep);
}

void target_leaf::add_fault(const fault& one)
{
    if (one.kind == fault_kind::crash)
    {
        const auto rest = one.end == clock::time_point::max()
                              ? this->options.restart_time
                              : std::chrono::ceil<std::chrono::milliseconds>(
                                    one.end - clock::now());
        this->crash(rest);
        return;
    }
    if (one.kind == fault_kind::drop_silently)
    {
        this->endpoint->silence_connections();
        return;
    }
    this->faults.add(one);
}

void target_leaf::clear_faults()
{
    this->faults.clear();
}

void target_leaf::publish_leaving(bool leaving)
{
    if (leaving == this->counters().leaving_since.has_value())
    {
        return;
    }
    this->counters().leaving_since.reset();
    this->counters().last_after_leaving.reset();
    if (leaving)
    {
        this->counters().leaving_since = clock::now();
    }
}

} // namespace basilpath::standin
