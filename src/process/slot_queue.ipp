#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace basilpath
{

template <runtime Runtime>
boost::asio::awaitable<std::optional<slot_lease<Runtime>>>
slot_queue<Runtime>::acquire(std::shared_ptr<waiter> one)
{
    if (auto free = this->try_acquire(one->candidates))
    {
        co_return std::move(free);
    }
    const key place{one->deadline, ++this->arrivals};
    for (const auto& leaf : one->candidates)
    {
        this->lines[leaf->id].emplace(place, one);
    }
    ++this->waiters;
    one->timer.expires_at(to_clock<typename Runtime::clock>(one->deadline));
    while (!one->granted && !one->abandoned && this->now() < one->deadline)
    {
        co_await one->timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    --this->waiters;
    this->leave_lines(*one, place);
    if (!one->granted)
    {
        co_return std::nullopt;
    }
    std::optional<lease> granted(std::in_place, this->shared_from_this(),
                                 std::move(one->granted));
    if (one->abandoned)
    {
        granted.reset();
    }
    co_return std::move(granted);
}

template <runtime Runtime>
std::optional<slot_lease<Runtime>> slot_queue<Runtime>::try_acquire(
    const std::vector<std::shared_ptr<leaf_state>>& candidates)
{
    auto leaf = this->choose(candidates);
    if (!leaf)
    {
        return std::nullopt;
    }
    ++leaf->in_use;
    return std::optional<lease>(std::in_place, this->shared_from_this(),
                                std::move(leaf));
}

template <runtime Runtime>
void slot_queue<Runtime>::abandon(waiter& one)
{
    one.abandoned = true;
    one.timer.cancel();
}

template <runtime Runtime>
void slot_queue<Runtime>::release(const std::shared_ptr<leaf_state>& leaf)
{
    --leaf->in_use;
    this->dispatch(leaf);
}

template <runtime Runtime>
void slot_queue<Runtime>::dispatch(const std::shared_ptr<leaf_state>& leaf)
{
    const auto found = this->lines.find(leaf->id);
    if (found == this->lines.end())
    {
        return;
    }
    const instant time = this->now();
    for (auto& [place, one] : found->second)
    {
        if (!leaf->has_room(time))
        {
            return;
        }
        if (!one->granted && !one->abandoned && one->deadline > time)
        {
            ++leaf->in_use;
            one->granted = leaf;
            one->timer.cancel();
        }
    }
}

template <runtime Runtime>
void slot_queue<Runtime>::dispatch_later(
    const std::shared_ptr<leaf_state>& leaf)
{
    boost::asio::co_spawn(
        this->owner.executor(),
        [self = this->shared_from_this(), leaf]
        { return self->wait_for(leaf); },
        boost::asio::detached);
}

template <runtime Runtime>
std::size_t slot_queue<Runtime>::waiting() const
{
    return this->waiters;
}

template <runtime Runtime>
instant slot_queue<Runtime>::now() const
{
    return to_instant(Runtime::clock::now());
}

// Chooses the leaf with room that is expected to answer first.
template <runtime Runtime>
std::shared_ptr<leaf_state> slot_queue<Runtime>::choose(
    const std::vector<std::shared_ptr<leaf_state>>& candidates)
{
    const instant time = this->now();
    std::shared_ptr<leaf_state> best;
    std::pair<microseconds, std::uint64_t> best_cost;
    for (const auto& leaf : candidates)
    {
        if (!leaf->has_room(time))
        {
            continue;
        }
        const std::pair cost{leaf->expected() * (leaf->in_use + 1),
                             this->owner.random()};
        if (!best || cost < best_cost)
        {
            best = leaf;
            best_cost = cost;
        }
    }
    return best;
}

// Takes a waiter out of the lines of all its candidates.
template <runtime Runtime>
void slot_queue<Runtime>::leave_lines(const waiter& one, key place)
{
    for (const auto& leaf : one.candidates)
    {
        const auto found = this->lines.find(leaf->id);
        if (found != this->lines.end())
        {
            found->second.erase(place);
        }
    }
}

template <runtime Runtime>
boost::asio::awaitable<void>
slot_queue<Runtime>::wait_for(std::shared_ptr<leaf_state> leaf)
{
    typename Runtime::timer timer(this->owner.executor());
    timer.expires_at(to_clock<typename Runtime::clock>(leaf->busy_until()));
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    this->dispatch(leaf);
}

} // namespace basilpath
