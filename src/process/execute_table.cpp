#include "process/execute_table.hpp"

namespace basilpath
{

bool execute_table::add(const request_id& one)
{
    if (!this->known.emplace(one, std::nullopt).second)
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

void execute_table::finish(const wire::LeafExecuteResult& result)
{
    const auto found = this->known.find(request_id(result.request()));
    if (found != this->known.end())
    {
        found->second = result;
    }
}

std::optional<wire::LeafExecuteResult>
execute_table::find(const request_id& one) const
{
    const auto found = this->known.find(one);
    return found == this->known.end() ? std::nullopt : found->second;
}

} // namespace basilpath
