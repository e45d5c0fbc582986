/// The part of `target_pool` that follows replicas whose answers say that they
/// leave. Included by target_pool.ipp.
#include "node/process/target_pool.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace basilpath
{

template <target_codec Codec>
std::size_t target_pool<Codec>::leaving_replica_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->replicas.all(), [](const auto& one)
                              { return one.second->notice.given(); }));
}

// Records what an answer says of its replica's departure. Calls that wait for
// the replica return to their sessions if another one can take them.
template <target_codec Codec>
void target_pool<Codec>::note_leaving(const entry_pointer& one,
                                      const target_reply& reply, instant time)
{
    const bool own = !reply.misdirected() &&
                     (!reply.responder || *reply.responder == one->target.id) &&
                     this->replicas.find(one->target.id) == one;
    if (!reply.leaving || !own || one->notice.given())
    {
        return;
    }
    one->notice.note(time, this->replica_drain_timeout);
    const bool another = this->any_listed(one->target.service);
    std::vector<std::shared_ptr<target_call>> calls;
    if (another || one->notice.phase(time) == leaving_phase::over)
    {
        calls = one->waiting.take_all();
    }
    log_event(log_level::info, "replica_says_leaving",
              {{"replica", one->target.id.value},
               {"service", one->target.service.value},
               {"status", reply.status},
               {"calls_moved", calls.size()},
               {"calls_in_progress", one->carried()},
               {"another", another}});
    one->fail_unsent(calls, time);
    this->sweep_leaving(one, time);
}

// Closes the idle connections of a replica that says that it leaves, and
// returns the calls that wait for it once it is no choice any more.
template <target_codec Codec>
void target_pool<Codec>::sweep_leaving(const entry_pointer& one, instant time)
{
    if (!one->notice.given())
    {
        return;
    }
    if (one->waiting.empty())
    {
        one->close_idle();
    }
    if (!one->last_choice_ended &&
        one->notice.phase(time) == leaving_phase::over)
    {
        one->last_choice_ended = true;
        const auto calls = one->waiting.take_all();
        log_event(log_level::info, "replica_last_choice_ended",
                  {{"replica", one->target.id.value},
                   {"service", one->target.service.value},
                   {"calls_moved", calls.size()},
                   {"calls_in_progress", one->carried()}});
        one->fail_unsent(calls, time);
    }
}

} // namespace basilpath
