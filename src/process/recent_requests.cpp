#include "process/recent_requests.hpp"

namespace basilpath
{

bool recent_requests::add(const request_id& one)
{
    if (!this->known.insert(one).second)
    {
        return false;
    }
    this->order.push_back(one);
    if (this->order.size() > this->most)
    {
        this->known.erase(this->order.front());
        this->order.pop_front();
    }
    return true;
}

} // namespace basilpath
