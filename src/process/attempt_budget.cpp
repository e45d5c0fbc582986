#include "process/attempt_budget.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

constexpr double kept_attempts = 20.0;

} // namespace

void attempt_budget::set_share(double wanted)
{
    this->share = wanted;
}

void attempt_budget::note_first()
{
    this->earned = std::min(kept_attempts, this->earned + this->share);
}

bool attempt_budget::take()
{
    if (this->share <= 0.0 || this->earned < 1.0)
    {
        return false;
    }
    this->earned -= 1.0;
    ++this->taken;
    return true;
}

std::uint64_t attempt_budget::spent() const
{
    return this->taken;
}

} // namespace basilpath
