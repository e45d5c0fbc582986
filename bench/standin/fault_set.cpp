#include "standin/fault_set.hpp"

#include <algorithm>

namespace basilpath::standin
{

void fault_set::add(const fault& one)
{
    std::erase_if(this->faults,
                  [&](const fault& old) { return old.kind == one.kind; });
    this->faults.push_back(one);
}

void fault_set::clear()
{
    this->faults.clear();
}

std::optional<fault> fault_set::find(fault_kind kind, time_point now) const
{
    const auto found = std::ranges::find(this->faults, kind, &fault::kind);
    if (found == this->faults.end() || found->end <= now)
    {
        return std::nullopt;
    }
    return *found;
}

bool fault_set::applies(fault_kind kind, time_point now, double draw) const
{
    const std::optional<fault> one = this->find(kind, now);
    return one && draw < one->chance;
}

} // namespace basilpath::standin
