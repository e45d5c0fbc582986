#include "process/proven_queries.hpp"

namespace basilpath
{

proven_queries::proven_queries(std::size_t limit) : limit(limit) {}

bool proven_queries::contains(fingerprint request_fingerprint)
{
    const auto found = this->places.find(request_fingerprint);
    if (found == this->places.end())
    {
        return false;
    }
    this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
    return true;
}

void proven_queries::add(fingerprint request_fingerprint)
{
    if (this->limit == 0)
    {
        return;
    }
    if (this->contains(request_fingerprint))
    {
        return;
    }
    if (this->places.size() >= this->limit)
    {
        this->places.erase(this->by_use.back());
        this->by_use.pop_back();
    }
    this->by_use.push_front(request_fingerprint);
    this->places[request_fingerprint] = this->by_use.begin();
}

void proven_queries::remove(fingerprint request_fingerprint)
{
    const auto found = this->places.find(request_fingerprint);
    if (found != this->places.end())
    {
        this->by_use.erase(found->second);
        this->places.erase(found);
    }
}

} // namespace basilpath
