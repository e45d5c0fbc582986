/// The gate before one service: admits requests by worth, up to a limit.
#pragma once

#include "process/admission_limit.hpp"
#include "process/runtime.hpp"
#include "process/worth_demand.hpp"
#include "request/mailbox.hpp"
#include "version/ids.hpp"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>

namespace basilpath
{

/// Events of one gate.
struct gate_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0;
    std::uint64_t refused = 0;
};

/// Requests that find the limit reached wait for a bounded time. The one of
/// the most worth is admitted first, among equals the one that came last: it
/// has the most of its time left. Places that requests of more worth will need,
/// going by how many came lately, are kept free of those of less. One gate for
/// each service of a process; used on the runtime's thread only.
template <runtime Runtime, admission_limit Limit>
class admission_gate
    : public std::enable_shared_from_this<admission_gate<Runtime, Limit>>
{
public:
    using time_point = typename Runtime::clock::time_point;

    /// A place in the gate, given back when it is destroyed.
    class ticket
    {
    public:
        ticket(std::shared_ptr<admission_gate> owner, time_point since)
            : owner(std::move(owner)), since(since),
              in_progress(this->owner->in_progress)
        {
        }

        ticket(ticket&&) noexcept = default;
        ticket& operator=(ticket&&) = delete;
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;

        ~ticket()
        {
            if (this->owner)
            {
                this->owner->leave();
            }
        }

        /// Tells the limit how long the request waited and how long a wait is
        /// still short for it.
        void report(microseconds waited, microseconds target, bool complete)
        {
            const auto took = std::chrono::duration_cast<microseconds>(
                Runtime::clock::now() - this->since);
            this->owner->demand.took(took);
            this->owner->limit.learn(
                {waited, target, complete, this->in_progress, took}, now_us());
        }

    private:
        std::shared_ptr<admission_gate> owner;
        time_point since;
        std::size_t in_progress;
    };

    admission_gate(Runtime& clockwork, Limit limit)
        : clockwork(clockwork), limit(std::move(limit))
    {
    }

    /// Waits until the request is admitted; nothing when it was not in time.
    boost::asio::awaitable<std::optional<ticket>> enter(worth value,
                                                        time_point until)
    {
        const auto self = this->shared_from_this();
        this->demand.arrived(value, now_us());
        if (this->has_place(value) && !this->waits_as_much(value))
        {
            co_return this->admit();
        }
        ++this->counts.waited;
        const auto place = std::make_shared<waiter>(this->clockwork, value);
        this->queue(place);
        while (!place->admitted && Runtime::clock::now() < until)
        {
            co_await place->signal.pop_until(until);
        }
        if (place->admitted)
        {
            ++this->counts.admitted;
            co_return std::optional<ticket>(std::in_place, self,
                                            Runtime::clock::now());
        }
        this->waiters.remove(place);
        ++this->counts.refused;
        co_return std::nullopt;
    }

    [[nodiscard]] std::size_t admitted_now() const
    {
        return this->in_progress;
    }

    [[nodiscard]] std::size_t waiting_now() const
    {
        return this->waiters.size();
    }

    [[nodiscard]] std::size_t limit_now() const
    {
        return this->limit.limit();
    }

    [[nodiscard]] const gate_counters& counters() const
    {
        return this->counts;
    }

private:
    /// A request that waits for its place.
    struct waiter
    {
        waiter(Runtime& clockwork, worth value)
            : signal(clockwork), value(value)
        {
        }

        mailbox<Runtime, bool> signal;
        worth value;
        bool admitted = false;
    };

    // The present time since the clock's epoch.
    static microseconds now_us()
    {
        return std::chrono::duration_cast<microseconds>(
            Runtime::clock::now().time_since_epoch());
    }

    // Tells whether a place is free that no request of more worth will need.
    bool has_place(worth value)
    {
        const auto kept = this->demand.places_above(value, now_us());
        return this->in_progress + kept < this->limit.limit();
    }

    // Tells whether a request of as much worth waits already.
    bool waits_as_much(worth value) const
    {
        return !this->waiters.empty() && this->waiters.front()->value >= value;
    }

    // Takes a place at once.
    std::optional<ticket> admit()
    {
        ++this->in_progress;
        ++this->counts.admitted;
        return std::optional<ticket>(std::in_place, this->shared_from_this(),
                                     Runtime::clock::now());
    }

    // Puts a waiter before all others of no more worth.
    void queue(const std::shared_ptr<waiter>& one)
    {
        const auto place =
            std::ranges::find_if(this->waiters, [&one](const auto& other)
                                 { return other->value <= one->value; });
        this->waiters.insert(place, one);
    }

    // Gives a place back and admits who waits first.
    void leave()
    {
        --this->in_progress;
        while (!this->waiters.empty() &&
               this->has_place(this->waiters.front()->value))
        {
            const auto first = this->waiters.front();
            this->waiters.pop_front();
            first->admitted = true;
            ++this->in_progress;
            first->signal.wake();
        }
    }

    Runtime& clockwork;
    Limit limit;
    worth_demand demand;
    std::list<std::shared_ptr<waiter>> waiters;
    std::size_t in_progress = 0;
    gate_counters counts;
};

} // namespace basilpath
