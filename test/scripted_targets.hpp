/// Transport to replicas that answer from a script in virtual time, for tests
/// of a node's sessions.
#pragma once

#include "node/process/placement.hpp"
#include "node/process/replica_health.hpp"
#include "node/request/target_transport.hpp"
#include "node/version/route_table.hpp"
#include "session_record.hpp"
#include "virtual_runtime.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilpath::test
{

using namespace std::chrono_literals;

/// The scripted result of a call and the time until it.
struct target_script
{
    microseconds after{5'000};
    target_result result;
};

/// A signed success with one record.
inline target_script good_answer(const std::string& replica,
                                 microseconds after = 5ms)
{
    target_result result;
    result.end = call_end::answered;
    result.reply.status = 200;
    result.reply.signature = "sig-" + replica;
    result.reply.body = fmt::format("{:<16}", replica).substr(0, 16);
    result.latency = after;
    return {after, std::move(result)};
}

/// An answer that the replica did not run the call.
inline target_script shed(microseconds after = 1ms)
{
    target_result result;
    result.end = call_end::answered;
    result.reply.status = 503;
    result.reply.not_executed = true;
    result.latency = after;
    return {after, std::move(result)};
}

/// A signed failure of a replica that ran the call.
inline target_script failure(unsigned status, microseconds after = 1ms)
{
    target_result result;
    result.end = call_end::answered;
    result.reply.status = status;
    result.reply.signature = "sig-failure";
    result.reply.body = "failure";
    result.latency = after;
    return {after, std::move(result)};
}

/// A call that ends without an answer.
inline target_script lost(call_end end, microseconds after = 1ms)
{
    target_result result;
    result.end = end;
    result.latency = after;
    return {after, std::move(result)};
}

/// A `target_transport` that records the calls that are sent and abandoned.
class scripted_targets
{
public:
    using script =
        std::function<target_script(const target_call& call, std::size_t sent)>;

    explicit scripted_targets(virtual_runtime& run,
                              const std::string& domain = "a")
        : run(run), own_domain(domain)
    {
    }

    /// Adds a replica of a service.
    void add(const std::string& id, const std::string& service,
             const std::string& domain = "a")
    {
        replica one;
        one.id = leaf_id(id);
        one.service = service_name(service);
        one.domain = failure_domain(domain);
        one.slots = 2;
        this->replicas.push_back(
            std::make_unique<scripted_replica>(scripted_replica{
                one, replica_health(2, milliseconds(0), now()), {}}));
    }

    [[nodiscard]] std::vector<candidate>
    candidates(const service_name& service) const
    {
        std::vector<candidate> found;
        for (const auto& one : this->replicas)
        {
            if (one->target.service == service)
            {
                found.push_back({&one->target, &one->health, false,
                                 one->limit ? &*one->limit : nullptr, 0,
                                 one->evacuated, one->leaving});
            }
        }
        return found;
    }

    void send(const std::shared_ptr<target_call>& call)
    {
        call->sent = now();
        const target_script next = this->behave(*call, this->sent++);
        this->record.add("call " + call->to.value);
        call->on_wire = next.result.end != call_end::unsent;
        boost::asio::co_spawn(this->run.executor(), this->finish(call, next),
                              boost::asio::detached);
    }

    void abandon(const std::shared_ptr<target_call>& call, milliseconds)
    {
        call->abandoned = true;
        call->done = nullptr;
        this->record.add("give up " + call->to.value);
        this->abandoned.push_back(call);
    }

    void note_unplaced(const service_name&) {}

    [[nodiscard]] bool room_is_scarce(const service_name&) const
    {
        return this->scarce;
    }

    [[nodiscard]] route_latency latency(const std::string&) const
    {
        return this->usual;
    }

    [[nodiscard]] const failure_domain& domain() const
    {
        return this->own_domain;
    }

    /// Gives this host a share of the limit of a replica.
    void limit(const std::string& id, request_rate rate, double depth)
    {
        this->find(id).limit.emplace().set(rate, depth, now());
    }

    /// Evacuates the failure domain of a replica.
    void evacuate(const std::string& id)
    {
        this->find(id).evacuated = true;
    }

    /// Sets what the answers of a replica have said of its departure.
    void set_leaving(const std::string& id, leaving_phase phase)
    {
        this->find(id).leaving = phase;
    }

    replica_health& health(const std::string& id)
    {
        return this->find(id).health;
    }

    static instant now()
    {
        return to_instant(virtual_clock::now());
    }

    session_record record;
    script behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value);
    };
    route_latency usual{10ms, 20ms};
    std::size_t sent = 0;
    std::vector<std::shared_ptr<target_call>> abandoned;

    /// Whether the replicas have no slots to spare.
    bool scarce = false;

private:
    /// A replica and its health.
    struct scripted_replica
    {
        replica target;
        replica_health health;
        std::optional<limit_bucket> limit;
        bool evacuated = false;
        leaving_phase leaving = leaving_phase::none;
    };

    scripted_replica& find(const std::string& id)
    {
        return **std::ranges::find_if(this->replicas, [&id](const auto& one)
                                      { return one->target.id.value == id; });
    }

    boost::asio::awaitable<void> finish(std::shared_ptr<target_call> call,
                                        target_script next)
    {
        virtual_runtime::timer timer(this->run.executor());
        timer.expires_after(next.after);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        if (call->done)
        {
            const auto done = std::exchange(call->done, nullptr);
            done(next.result);
        }
    }

    virtual_runtime& run;
    failure_domain own_domain;
    std::vector<std::unique_ptr<scripted_replica>> replicas;
};

} // namespace basilpath::test
