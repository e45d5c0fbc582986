/// Replicas that run a limited number of calls at a time: a transport for the
/// sessions of a node that receives more than its replicas can serve.
#pragma once

#include "node/process/call_queue.hpp"
#include "node/process/placement.hpp"
#include "node/process/replica_health.hpp"
#include "node/process/room_meter.hpp"
#include "node/request/target_transport.hpp"
#include "virtual_runtime.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace basilpath::test
{

/// A `target_transport`. Calls beyond the slots of a replica wait in a
/// `call_queue`, as in production, or at the replica up to its places.
class queued_targets
{
public:
    queued_targets(virtual_runtime& run, microseconds work)
        : run(run), work(work), usual{work, work * 2}
    {
    }

    /// Lets replicas hold this many calls each, those beyond their slots in a
    /// queue, and report their load with each answer. Their work then takes
    /// an exponentially distributed time, so that parts of a query differ.
    void hold_calls(unsigned places)
    {
        this->places = places;
    }

    /// Adds a replica of a service.
    void add(const std::string& id, const std::string& service, unsigned slots)
    {
        auto added = std::make_shared<queued_replica>(
            queued_replica{{},
                           replica_health(slots, milliseconds(0), now()),
                           {},
                           {},
                           slots,
                           0});
        added->target.id = leaf_id(id);
        added->target.service = service_name(service);
        added->target.domain = this->own_domain;
        added->target.slots = slots;
        this->replicas[added->target.id] = added;
    }

    [[nodiscard]] std::vector<candidate>
    candidates(const service_name& service) const
    {
        std::vector<candidate> found;
        for (const auto& [id, one] : this->replicas)
        {
            if (one->target.service == service)
            {
                found.push_back({&one->target, &one->health, false});
            }
        }
        return found;
    }

    void send(const std::shared_ptr<target_call>& call)
    {
        const auto one = this->replicas.at(call->to);
        one->health.on_sent(now());
        one->waiting.push(call);
        this->dispatch(one);
    }

    void abandon(const std::shared_ptr<target_call>& call, milliseconds)
    {
        call->abandoned = true;
        call->done = nullptr;
    }

    void note_unplaced(const service_name&) {}

    [[nodiscard]] bool room_is_scarce(const service_name&) const
    {
        return this->room.scarce(now());
    }

    [[nodiscard]] route_latency latency(const std::string&) const
    {
        return this->usual;
    }

    [[nodiscard]] const failure_domain& domain() const
    {
        return this->own_domain;
    }

    static instant now()
    {
        return to_instant(virtual_clock::now());
    }

    /// Number of calls that replicas have run.
    std::size_t calls_run = 0;

private:
    /// A replica with its slots.
    struct queued_replica
    {
        replica target;
        replica_health health;
        call_queue waiting;

        /// Calls that wait at the replica.
        std::deque<std::shared_ptr<target_call>> arrived;
        unsigned slots = 1;
        unsigned running = 0;
    };

    // Starts calls while slots are free.
    void dispatch(const std::shared_ptr<queued_replica>& one)
    {
        for (const auto& ended : one->waiting.take_expired(now()))
        {
            one->health.on_cancelled(now(), false);
            if (ended->done)
            {
                std::exchange(ended->done, nullptr)({});
            }
        }
        std::erase_if(one->arrived,
                      [&one](const auto& call)
                      {
                          if (call->abandoned)
                          {
                              one->health.on_cancelled(now(), false);
                          }
                          return call->abandoned;
                      });
        while (!one->waiting.empty() && one->running + one->arrived.size() <
                                            std::max(this->places, one->slots))
        {
            const auto call = one->waiting.pop(now(), this->work);
            call->sent = now();
            call->on_wire = true;
            one->arrived.push_back(call);
        }
        while (!one->arrived.empty() && one->running < one->slots)
        {
            const auto call = one->arrived.front();
            one->arrived.pop_front();
            ++one->running;
            ++this->calls_run;
            boost::asio::co_spawn(this->run.executor(), this->serve(one, call),
                                  boost::asio::detached);
        }
    }

    // Runs a call. An abandoned call keeps its slot, as on a replica that has
    // started the work.
    boost::asio::awaitable<void> serve(std::shared_ptr<queued_replica> one,
                                       std::shared_ptr<target_call> call)
    {
        virtual_runtime::timer timer(this->run.executor());
        timer.expires_after(this->call_time());
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        --one->running;
        target_result result;
        result.end = call_end::answered;
        result.reply.status = 200;
        result.reply.signature = "sig-" + one->target.id.value;
        result.reply.body = std::string(16, 'r');
        result.latency = now() - call->sent;
        if (this->places > 0)
        {
            const auto queued = static_cast<unsigned>(one->arrived.size());
            result.reply.load =
                replica_load{one->running, queued, one->slots, 1.0};
            this->room.note(*result.reply.load, now());
        }
        one->health.on_answer(now(), result.latency, this->usual.usual,
                              result.reply.load, true);
        if (call->done)
        {
            std::exchange(call->done, nullptr)(std::move(result));
        }
        this->dispatch(one);
    }

    // Returns how long a replica works on the next call.
    microseconds call_time()
    {
        if (this->places == 0)
        {
            return this->work;
        }
        std::exponential_distribution<double> any(
            1.0 / static_cast<double>(this->work.count()));
        return microseconds(static_cast<std::int64_t>(any(this->generator)));
    }

    virtual_runtime& run;
    microseconds work;
    std::mt19937_64 generator{2};
    route_latency usual;

    /// Calls that a replica holds; zero when calls beyond its slots do not
    /// leave the host and no load is reported.
    unsigned places = 0;
    room_meter room;
    failure_domain own_domain{"a"};
    std::map<leaf_id, std::shared_ptr<queued_replica>> replicas;
};

} // namespace basilpath::test
