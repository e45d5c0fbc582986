/// Waiting for a free slot on any replica of a shard, in deadline order.
#pragma once

#include "connection/leaf_state.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilpath
{

template <runtime Runtime>
class slot_queue;

/// How a slot is used.
enum class slot_use : std::uint8_t
{
    shared, ///< beside others
    alone   ///< with nothing else in progress at the leaf
};

/// One slot of one leaf, held from before the request is sent until its reply
/// has come. The slot is given back when the lease is destroyed.
template <runtime Runtime>
class slot_lease
{
public:
    slot_lease(std::shared_ptr<slot_queue<Runtime>> queue,
               std::shared_ptr<leaf_state> leaf,
               slot_use use = slot_use::shared)
        : queue(std::move(queue)), held(std::move(leaf)), use(use)
    {
    }

    slot_lease(slot_lease&&) noexcept = default;
    slot_lease(const slot_lease&) = delete;
    slot_lease& operator=(const slot_lease&) = delete;
    slot_lease& operator=(slot_lease&&) = delete;

    ~slot_lease()
    {
        if (this->held)
        {
            if (this->use == slot_use::alone)
            {
                this->held->reserved = false;
            }
            this->queue->release(this->held);
        }
    }

    [[nodiscard]] const std::shared_ptr<leaf_state>& leaf() const
    {
        return this->held;
    }

private:
    std::shared_ptr<slot_queue<Runtime>> queue;
    std::shared_ptr<leaf_state> held;
    slot_use use;
};

/// A task that waits for a slot.
template <runtime Runtime>
struct slot_waiter
{
    slot_waiter(Runtime& owner, instant deadline,
                std::vector<std::shared_ptr<leaf_state>> candidates)
        : deadline(deadline), candidates(std::move(candidates)),
          timer(owner.executor())
    {
    }

    instant deadline;

    /// Requests of more worth are served first.
    worth value;

    /// Leaves any of which will do.
    std::vector<std::shared_ptr<leaf_state>> candidates;

    /// Set when the wait was given up by another task.
    bool abandoned = false;

    std::shared_ptr<leaf_state> granted;
    typename Runtime::timer timer;
};

/// Grants slots. A slot that becomes free goes to the waiter of the most worth,
/// among equals to the one with the earliest deadline, whom the leaf can serve,
/// so that no slot idles while work for it waits. Used on one thread.
template <runtime Runtime>
class slot_queue : public std::enable_shared_from_this<slot_queue<Runtime>>
{
public:
    using lease = slot_lease<Runtime>;
    using waiter = slot_waiter<Runtime>;

    explicit slot_queue(Runtime& owner) : owner(owner) {}

    /// Waits until a slot is granted; nothing when the deadline comes first or
    /// the wait is abandoned. For use alone the leaf is emptied first, and gets
    /// no other request until the lease is given back.
    boost::asio::awaitable<std::optional<lease>>
    acquire(std::shared_ptr<waiter> one, slot_use use);

    /// Takes a slot that is free now, if any leaf has one.
    std::optional<lease>
    try_acquire(const std::vector<std::shared_ptr<leaf_state>>& candidates);

    /// Ends a wait.
    void abandon(waiter& one);

    /// Gives a slot back.
    void release(const std::shared_ptr<leaf_state>& leaf);

    /// Grants what can be granted at a leaf whose room has changed.
    void dispatch(const std::shared_ptr<leaf_state>& leaf);

    /// Grants at a leaf when its pause has ended.
    void dispatch_later(const std::shared_ptr<leaf_state>& leaf);

    /// Ends the waits of those who waited for nothing but closed leaves.
    void close(const std::shared_ptr<leaf_state>& leaf);

    /// Tasks that wait.
    [[nodiscard]] std::size_t waiting() const;

private:
    /// Order of service at one leaf: by falling worth, then by deadline, then
    /// by arrival.
    struct key
    {
        worth value;
        instant deadline;
        std::uint64_t arrival = 0;

        bool operator<(const key& other) const
        {
            return std::tie(other.value, this->deadline, this->arrival) <
                   std::tie(this->value, other.deadline, other.arrival);
        }
    };

    using line = std::map<key, std::shared_ptr<waiter>>;

    [[nodiscard]] instant now() const;
    boost::asio::awaitable<std::optional<lease>>
    acquire_shared(std::shared_ptr<waiter> one);
    boost::asio::awaitable<std::optional<lease>>
    acquire_alone(std::shared_ptr<waiter> one);
    std::shared_ptr<leaf_state>
    choose(const std::vector<std::shared_ptr<leaf_state>>& candidates);
    boost::asio::awaitable<bool> empty(std::shared_ptr<leaf_state> leaf,
                                       waiter& one);
    boost::asio::awaitable<void> sleep(microseconds time);
    [[nodiscard]] bool accepts(const waiter& one, const leaf_state& leaf) const;
    void leave_lines(const waiter& one, key place);
    boost::asio::awaitable<void>
    wait_for_pause(std::shared_ptr<leaf_state> leaf);

    Runtime& owner;
    std::uint64_t arrivals = 0;
    std::size_t waiters = 0;
    std::unordered_map<leaf_id, line> lines;
};

} // namespace basilpath

#include "process/slot_queue.ipp"
