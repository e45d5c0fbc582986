#include "standin/leaf_record.hpp"

#include <algorithm>

namespace basilpath::standin
{

bool leaf_record::connect(std::size_t limit)
{
    ++this->connections;
    ++this->connections_opened;
    this->connections_peak =
        std::max(this->connections_peak, this->connections);
    if (this->connections > limit)
    {
        ++this->connections_refused;
        return false;
    }
    return true;
}

void leaf_record::disconnect()
{
    --this->connections;
}

void leaf_record::receive(time_point now)
{
    ++this->received;
    if (this->leaving_since)
    {
        this->last_after_leaving = now;
    }
}

void leaf_record::reset()
{
    leaf_record fresh;
    fresh.connections = this->connections;
    fresh.connections_peak = this->connections;
    fresh.leaving_since = this->leaving_since;
    *this = fresh;
}

} // namespace basilpath::standin
