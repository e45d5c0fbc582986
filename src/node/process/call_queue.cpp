#include "node/process/call_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace basilpath
{

void call_queue::push(std::shared_ptr<target_call> call)
{
    this->calls.push_back(std::move(call));
}

std::shared_ptr<target_call> call_queue::pop(instant now, microseconds usual)
{
    if (this->calls.empty())
    {
        return nullptr;
    }
    const auto priority = [now, usual](const std::shared_ptr<target_call>& one)
    {
        const bool late = one->soft_deadline < now + usual;
        return std::pair(late, late ? one->deadline : one->soft_deadline);
    };
    const auto next = std::ranges::min_element(this->calls, {}, priority);
    auto call = std::move(*next);
    this->calls.erase(next);
    return call;
}

std::vector<std::shared_ptr<target_call>> call_queue::take_expired(instant now)
{
    const auto expired = [now](const std::shared_ptr<target_call>& one)
    {
        return one->abandoned || now >= one->deadline;
    };
    std::vector<std::shared_ptr<target_call>> taken;
    std::ranges::copy_if(this->calls, std::back_inserter(taken), expired);
    std::erase_if(this->calls, expired);
    return taken;
}

std::vector<std::shared_ptr<target_call>> call_queue::take_late(instant now)
{
    const auto late = [now](const std::shared_ptr<target_call>& one)
    {
        return now >= one->soft_deadline;
    };
    std::vector<std::shared_ptr<target_call>> taken;
    std::ranges::copy_if(this->calls, std::back_inserter(taken), late);
    std::erase_if(this->calls, late);
    return taken;
}

std::vector<std::shared_ptr<target_call>> call_queue::take_all()
{
    return std::exchange(this->calls, {});
}

} // namespace basilpath
