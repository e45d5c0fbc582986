/// Virtual time for tests: runs the coroutines of the programs and advances the
/// clock from timer to timer.
#pragma once

#include "process/runtime.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace basilpath::test
{

/// A clock that only `virtual_runtime` advances.
struct virtual_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<virtual_clock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        return current;
    }

    inline static time_point current{};
};

/// Makes waits on timers return at once, so that the event loop can be polled.
struct virtual_wait_traits
{
    static virtual_clock::duration
    to_wait_duration(const virtual_clock::duration&)
    {
        return virtual_clock::duration::zero();
    }

    static virtual_clock::duration
    to_wait_duration(const virtual_clock::time_point&)
    {
        return virtual_clock::duration::zero();
    }
};

/// Event loop, clock and random numbers of one test session. The clock starts
/// at zero with each runtime.
class virtual_runtime
{
public:
    using clock = virtual_clock;

    /// A waitable timer that registers its expiry with the runtime.
    class timer : public boost::asio::basic_waitable_timer<virtual_clock,
                                                           virtual_wait_traits>
    {
    public:
        using base = boost::asio::basic_waitable_timer<virtual_clock,
                                                       virtual_wait_traits>;

        template <class Executor>
        explicit timer(const Executor& executor) : base(executor)
        {
        }

        std::size_t expires_at(const clock_type::time_point& when)
        {
            due().insert(when);
            return this->base::expires_at(when);
        }

        std::size_t expires_after(const clock_type::duration& delay)
        {
            return this->expires_at(virtual_clock::now() + delay);
        }

        static std::multiset<virtual_clock::time_point>& due()
        {
            static std::multiset<virtual_clock::time_point> times;
            return times;
        }
    };

    explicit virtual_runtime(std::uint64_t seed = 1) : generator(seed)
    {
        virtual_clock::current = {};
        timer::due().clear();
    }

    boost::asio::any_io_executor executor()
    {
        return this->context.get_executor();
    }

    std::uint64_t random()
    {
        return this->generator();
    }

    /// Runs all timers and handlers due up to and including `end`.
    void run_until(virtual_clock::duration end)
    {
        const virtual_clock::time_point last{end};
        while (true)
        {
            this->drain();
            auto& due = timer::due();
            due.erase(due.begin(), due.upper_bound(virtual_clock::now()));
            if (due.empty() || *due.begin() > last)
            {
                break;
            }
            virtual_clock::current = *due.begin();
        }
        virtual_clock::current = std::max(virtual_clock::current, last);
        this->drain();
    }

    boost::asio::io_context context;

private:
    // Runs all handlers that are ready at the current virtual time. The event
    // loop checks its timers only when the kernel reports that the real timer
    // has expired, and a poll may come earlier than that report. A wait that
    // ends at once marks a check; it covers the timers of all clocks.
    void drain()
    {
        std::size_t handlers = 0;
        do
        {
            handlers = 0;
            bool checked = false;
            boost::asio::steady_timer mark{
                this->context, boost::asio::steady_timer::duration::zero()};
            mark.async_wait([&checked](const boost::system::error_code&)
                            { checked = true; });
            this->context.restart();
            while (!checked)
            {
                handlers += this->context.run_one();
            }
            this->context.restart();
            handlers += this->context.poll();
        } while (handlers > 1);
    }

    std::mt19937_64 generator;
};

} // namespace basilpath::test
