#include "standin/slot_queue.hpp"

#include <algorithm>

namespace basilpath::standin
{

slot_queue::slot_queue(std::size_t slots, std::size_t queue_limit)
    : slots(slots), queue_limit(queue_limit)
{
}

admission slot_queue::offer(job_number job)
{
    if (this->in_slots.size() < this->slots)
    {
        this->in_slots.insert(job);
        return admission::run;
    }
    if (this->queue.size() >= this->queue_limit)
    {
        return admission::shed;
    }
    this->queue.push_back(job);
    return admission::wait;
}

std::optional<job_number> slot_queue::finish(job_number job)
{
    if (this->in_slots.erase(job) == 0)
    {
        std::erase(this->queue, job);
        return std::nullopt;
    }
    if (this->queue.empty() || this->in_slots.size() >= this->slots)
    {
        return std::nullopt;
    }
    const job_number next = this->queue.front();
    this->queue.pop_front();
    this->in_slots.insert(next);
    return next;
}

void slot_queue::clear()
{
    this->in_slots.clear();
    this->queue.clear();
}

void slot_queue::resize(std::size_t slots)
{
    this->slots = slots;
}

std::size_t slot_queue::running() const
{
    return this->in_slots.size();
}

std::size_t slot_queue::waiting() const
{
    return this->queue.size();
}

} // namespace basilpath::standin
