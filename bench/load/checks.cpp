#include "load/checks.hpp"

#include "load/answer_checks.hpp"
#include "load/target_checks.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace basilpath::load
{

std::vector<violation> run_checks(const check_input& input)
{
    constexpr auto all = std::to_array(
        {check_doubled, check_mixed, check_crossed, check_coverage,
         check_not_run, check_connections, check_leaving, check_crashes,
         check_extra_load, check_worthiest});
    std::vector<violation> found;
    for (const auto check : all)
    {
        std::ranges::move(check(input), std::back_inserter(found));
    }
    return found;
}

} // namespace basilpath::load
