#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace basilpath
{

namespace slot_queue_limits
{

/// How often a leaf that is being emptied is looked at.
inline constexpr microseconds empty_check_interval{500};

} // namespace slot_queue_limits

template <runtime Runtime>
boost::asio::awaitable<std::optional<slot_lease<Runtime>>>
slot_queue<Runtime>::acquire(std::shared_ptr<waiter> one, slot_use use)
{
    return use == slot_use::alone ? this->acquire_alone(std::move(one))
                                  : this->acquire_shared(std::move(one));
}

// Waits in line for a slot beside others.
template <runtime Runtime>
boost::asio::awaitable<std::optional<slot_lease<Runtime>>>
slot_queue<Runtime>::acquire_shared(std::shared_ptr<waiter> one)
{
    if (auto free = this->try_acquire(one->candidates))
    {
        co_return std::move(free);
    }
    const key place{one->value, one->deadline, ++this->arrivals};
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

// Reserves a leaf and waits until it has nothing in progress.
template <runtime Runtime>
boost::asio::awaitable<std::optional<slot_lease<Runtime>>>
slot_queue<Runtime>::acquire_alone(std::shared_ptr<waiter> one)
{
    const auto unreserved = [this](const std::shared_ptr<leaf_state>& leaf)
    {
        return leaf->usable(this->now()) && !leaf->reserved;
    };
    while (!one->abandoned && this->now() < one->deadline &&
           std::ranges::any_of(one->candidates, &leaf_state::open,
                               &std::shared_ptr<leaf_state>::operator*))
    {
        const auto found = std::ranges::find_if(one->candidates, unreserved);
        if (found == one->candidates.end())
        {
            co_await this->sleep(slot_queue_limits::empty_check_interval);
            continue;
        }
        const std::shared_ptr<leaf_state> leaf = *found;
        if (co_await this->empty(leaf, *one))
        {
            ++leaf->in_use;
            co_return std::optional<lease>(
                std::in_place, this->shared_from_this(), leaf, slot_use::alone);
        }
    }
    co_return std::nullopt;
}

// Keeps new requests from a leaf until those in progress have ended; true when
// the leaf is then usable and still reserved.
template <runtime Runtime>
boost::asio::awaitable<bool>
slot_queue<Runtime>::empty(std::shared_ptr<leaf_state> leaf, waiter& one)
{
    leaf->reserved = true;
    while (leaf->in_use > 0 && !one.abandoned && this->now() < one.deadline)
    {
        co_await this->sleep(slot_queue_limits::empty_check_interval);
    }
    if (leaf->in_use == 0 && !one.abandoned && this->now() < one.deadline &&
        leaf->usable(this->now()))
    {
        co_return true;
    }
    leaf->reserved = false;
    this->dispatch(leaf);
    co_return false;
}

template <runtime Runtime>
boost::asio::awaitable<void> slot_queue<Runtime>::sleep(microseconds time)
{
    typename Runtime::timer timer(this->owner.executor());
    timer.expires_after(time);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
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
        if (!one->granted && !one->abandoned && one->deadline > time &&
            this->accepts(*one, *leaf))
        {
            ++leaf->in_use;
            one->granted = leaf;
            one->timer.cancel();
        }
    }
}

// Tells whether a waiter may be given a slot of this leaf.
template <runtime Runtime>
bool slot_queue<Runtime>::accepts(const waiter& one,
                                  const leaf_state& leaf) const
{
    const instant time = this->now();
    const auto preferred = [time](const std::shared_ptr<leaf_state>& other)
    {
        return other->usable(time) && !other->put_aside;
    };
    return !leaf.put_aside || std::ranges::none_of(one.candidates, preferred);
}

template <runtime Runtime>
void slot_queue<Runtime>::close(const std::shared_ptr<leaf_state>& leaf)
{
    for (auto& [place, one] : this->lines[leaf->id])
    {
        if (std::ranges::none_of(one->candidates, &leaf_state::open,
                                 &std::shared_ptr<leaf_state>::operator*))
        {
            this->abandon(*one);
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
        { return self->wait_for_pause(leaf); },
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

// Chooses the leaf with room and the fewest requests in progress. Leaves that
// were put aside are asked only when no other is usable.
template <runtime Runtime>
std::shared_ptr<leaf_state> slot_queue<Runtime>::choose(
    const std::vector<std::shared_ptr<leaf_state>>& candidates)
{
    const instant time = this->now();
    const auto preferred = [time](const std::shared_ptr<leaf_state>& leaf)
    {
        return leaf->usable(time) && !leaf->put_aside;
    };
    const bool any_preferred = std::ranges::any_of(candidates, preferred);
    std::shared_ptr<leaf_state> best;
    std::pair<std::uint32_t, std::uint64_t> best_cost;
    for (const auto& leaf : candidates)
    {
        if (!leaf->has_room(time) || (any_preferred && leaf->put_aside))
        {
            continue;
        }
        const std::pair cost{leaf->in_use, this->owner.random()};
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
slot_queue<Runtime>::wait_for_pause(std::shared_ptr<leaf_state> leaf)
{
    typename Runtime::timer timer(this->owner.executor());
    timer.expires_at(to_clock<typename Runtime::clock>(leaf->paused_until()));
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    this->dispatch(leaf);
}

} // namespace basilpath
