#include "node/process/memory_budget.hpp"

#include <algorithm>

namespace basilpath
{

bool memory_budget::account::may_take(std::size_t more)
{
    const std::size_t free = this->budget->free();
    const bool fits = more <= free && this->bytes + more <= free - more;
    this->budget->refused_count += fits ? 0 : 1;
    return fits;
}

void memory_budget::account::take(std::size_t more)
{
    this->bytes += more;
    this->budget->held_bytes += more;
}

void memory_budget::account::release(std::size_t less)
{
    const std::size_t released = std::min(less, this->bytes);
    this->bytes -= released;
    this->budget->held_bytes -= released;
}

bool memory_charge::try_resize(std::size_t total)
{
    const std::size_t wanted = this->beyond_allowance(total);
    if (wanted > this->bytes && !this->holder->may_take(wanted - this->bytes))
    {
        return false;
    }
    this->resize(total);
    return true;
}

void memory_charge::resize(std::size_t total)
{
    const std::size_t wanted = this->beyond_allowance(total);
    if (wanted > this->bytes)
    {
        this->holder->take(wanted - this->bytes);
    }
    else
    {
        this->holder->release(this->bytes - wanted);
    }
    this->bytes = wanted;
}

} // namespace basilpath
