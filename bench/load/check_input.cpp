#include "load/check_input.hpp"

#include "load/load_plan.hpp"
#include "version/index_version.hpp"
#include "version/service.hpp"

#include <algorithm>

namespace basilpath::load
{

const traffic_mix& mix_of(const check_input& input,
                          const request_outcome& outcome)
{
    return input.plan.mixes.at(outcome.scheduled.mix);
}

const index_version* version_of(const service* wanted, version_number number)
{
    if (wanted == nullptr)
    {
        return nullptr;
    }
    const auto found =
        std::ranges::find(wanted->versions, number,
                          [](const auto& version) { return version->number; });
    return found == wanted->versions.end() ? nullptr : found->get();
}

} // namespace basilpath::load
