#include "standin/target_leaf.hpp"

#include "process/log.hpp"
#include "standin/leaf_job.hpp"
#include "standin/reply_faults.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace basilpath::standin
{

namespace
{

using namespace std::chrono_literals;

constexpr auto as_tuple_awaitable =
    boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr auto crash_delay = 1ms;
constexpr auto stall_poll = 2ms;
constexpr auto duplicate_delay = 5ms;

std::string error_body(const char* error)
{
    return fmt::format("{{\"error\":\"{}\"}}", error);
}

} // namespace

target_leaf::target_leaf(boost::asio::io_context& context,
                         const leaf_options& options, leaf description,
                         std::uint32_t items,
                         std::shared_ptr<execution_log> executions)
    : context(context), options(options),
      leaf_description(std::move(description)), items(items),
      executions(std::move(executions)),
      generator(options.seed ^ std::hash<leaf_id>{}(this->leaf_description.id)),
      service_times(options, this->generator()),
      slots(this->leaf_description.slots, options.queue_limit),
      reported_load(options.report_lag)
{
}

std::uint16_t target_leaf::start(const std::string& address)
{
    const auto weak = this->weak_from_this();
    this->endpoint =
        std::make_shared<leaf_endpoint>(this->context, address,
                                        [weak](const call_ptr& call)
                                        {
                                            if (const auto alive = weak.lock())
                                            {
                                                alive->called(call);
                                            }
                                        });
    this->endpoint->set_limit(this->leaf_description.connections);
    this->endpoint->open();
    return this->endpoint->port();
}

// Closes every connection and discards every job without a reply.
void target_leaf::crash(std::chrono::milliseconds restart)
{
    if (!this->endpoint || !this->endpoint->listening())
    {
        return;
    }
    ++this->counters().crashes;
    log_event(log_level::info, "leaf_crash",
              {{"leaf", this->leaf_description.id.value},
               {"restart_ms", restart.count()}});
    for (const auto& [number, job] : this->jobs)
    {
        job->lost = true;
        job->wake.cancel();
    }
    this->jobs.clear();
    this->slots.clear();
    this->endpoint->close();
    boost::asio::co_spawn(this->context, this->restart(restart),
                          boost::asio::detached);
}

boost::asio::awaitable<void>
target_leaf::restart(std::chrono::milliseconds delay)
{
    const auto self = this->shared_from_this();
    co_await this->sleep_for(delay);
    this->service_times.restart();
    this->endpoint->open();
}

void target_leaf::called(const call_ptr& call)
{
    const bool first_on_connection =
        !std::exchange(call->connection->used, true);
    if (call->path == "/v1/leaf")
    {
        boost::asio::co_spawn(this->context,
                              this->serve(call, first_on_connection),
                              boost::asio::detached);
    }
    else if (call->path == "/v1/cancel")
    {
        this->cancel(*call);
    }
    else if (call->path == "/v1/load")
    {
        this->report(*call);
    }
    else
    {
        call->answer(call->path == "/healthz" ? 200 : 404, "{}");
    }
}

void target_leaf::cancel(leaf_call& call)
{
    const auto named = read_cancel_request(call.body);
    if (!named)
    {
        call.answer(400, error_body("malformed"));
        return;
    }
    for (const auto& [number, job] : this->jobs)
    {
        if (job->request.request == named->request &&
            job->request.attempt == named->attempt)
        {
            job->cancelled = true;
            job->wake.cancel();
        }
    }
    call.answer(200, "{}");
}

// Reports the load, which may be out of date, or zero load under lying_load.
void target_leaf::report(leaf_call& call)
{
    call.answer(200, this->applies(fault_kind::lying_load)
                         ? R"({"in_use":0,"queued":0})"
                         : this->reported_load.text(this->slots, clock::now()));
}

// Processes one request from its arrival to its reply.
boost::asio::awaitable<void> target_leaf::serve(call_ptr call,
                                                bool first_on_connection)
{
    const auto self = this->shared_from_this();

    // Step 1. Simulate the connection setup, and wait while the leaf stalls.
    if (first_on_connection)
    {
        co_await this->sleep_for(this->leaf_description.connect_time);
    }
    co_await this->wait_while_stalled();

    // Step 2. Parse the request.
    this->counters().receive(clock::now());
    auto request = read_leaf_request(call->body);
    if (!request)
    {
        ++this->counters().malformed;
        call->answer(400, error_body("malformed"));
        co_return;
    }
    auto job = std::make_shared<leaf_job>(
        leaf_job{++this->last_job, std::move(call), std::move(*request),
                 boost::asio::steady_timer(this->context)});
    if (job->request.execute)
    {
        this->executions->receive(job->request.key);
    }

    // Step 3. Refuse requests that the leaf does not accept.
    if (this->refuse(*job))
    {
        co_return;
    }

    // Step 4. Wait for a slot, process the request, and reply.
    this->jobs.emplace(job->number, job);
    if (co_await this->wait_for_slot(job) && co_await this->work(job))
    {
        co_await this->reply(job);
    }
    this->end(*job);
}

// Returns whether the request is refused on arrival; if so, replies to it.
bool target_leaf::refuse(leaf_job& job)
{
    if (this->applies(fault_kind::drain))
    {
        ++this->counters().draining;
        job.call->answer(503, error_body("draining"));
        return true;
    }
    if (!this->holdings.holds(job.request.target, clock::now()))
    {
        ++this->counters().wrong_version;
        job.call->answer(409, error_body("version"));
        return true;
    }
    if (this->applies(fault_kind::busy))
    {
        ++this->counters().shed;
        job.call->answer(429, error_body("busy"));
        return true;
    }
    return false;
}

// Returns whether the job gets a slot; if not, replies to it unless the leaf
// has crashed.
boost::asio::awaitable<bool> target_leaf::wait_for_slot(job_ptr job)
{
    const admission place = this->slots.offer(job->number);
    if (place == admission::shed)
    {
        ++this->counters().shed;
        job->call->answer(429, error_body("busy"));
        co_return false;
    }
    job->has_slot = place == admission::run;
    if (!job->has_slot)
    {
        job->wake.expires_after(job->request.deadline);
        co_await job->wake.async_wait(as_tuple_awaitable);
    }
    if (job->lost)
    {
        co_return false;
    }
    if (job->cancelled)
    {
        this->reply_cancelled(*job);
        co_return false;
    }
    if (!job->has_slot || job->request.deadline <= 0ms)
    {
        ++this->counters().past_deadline;
        job->call->answer(504, error_body("deadline"));
        co_return false;
    }
    co_return true;
}

// Occupies the slot for the service time. Returns whether the work completed.
boost::asio::awaitable<bool> target_leaf::work(job_ptr job)
{
    ++this->counters().started;
    if (job->request.execute)
    {
        job->run = this->executions->start(job->request.key,
                                           std::chrono::steady_clock::now());
    }
    const bool crashes =
        job->request.poison && this->applies(fault_kind::crash_on_mark);
    fault slowness;
    slowness.factor = 1.0;
    if (this->applies(fault_kind::slow))
    {
        slowness = this->faults.find(fault_kind::slow, clock::now())
                       .value_or(slowness);
    }
    job->wake.expires_after(
        crashes ? crash_delay : this->service_times.draw(slowness.factor));
    co_await job->wake.async_wait(as_tuple_awaitable);
    co_await this->wait_while_stalled();
    if (crashes && !job->lost)
    {
        this->crash(this->options.restart_time);
    }
    if (job->lost)
    {
        co_return false;
    }
    if (job->cancelled)
    {
        this->reply_cancelled(*job);
        co_return false;
    }
    ++this->counters().finished;
    if (job->request.execute)
    {
        this->executions->finish(job->request.key);
    }
    co_return true;
}

// Sends the reply, after applying the faults that affect it.
boost::asio::awaitable<void> target_leaf::reply(job_ptr job)
{
    leaf_request echoed = job->request;
    if (this->applies(fault_kind::wrong_echo))
    {
        echoed.request += "-x";
    }
    if (this->applies(fault_kind::wrong_version))
    {
        ++echoed.target.version.value;
    }
    const std::string body =
        make_reply(echoed, this->leaf_description.id, this->items, job->run);
    if (distort_reply(*job->call, body,
                      [this](fault_kind kind) { return this->applies(kind); }))
    {
        co_return;
    }
    job->call->answer(200, body);
    if (this->applies(fault_kind::late_duplicate))
    {
        const auto kept = job->call->connection;
        this->end(*job);
        co_await this->sleep_for(duplicate_delay);
        kept->send_raw(raw_response(body, 1.0));
    }
}

// Removes the job and assigns its slot to the next waiting job.
void target_leaf::end(leaf_job& job)
{
    if (this->jobs.erase(job.number) == 0)
    {
        return;
    }
    const auto next = this->slots.finish(job.number);
    if (next)
    {
        leaf_job& next_job = *this->jobs.at(*next);
        next_job.has_slot = true;
        next_job.wake.cancel();
    }
}

void target_leaf::reply_cancelled(leaf_job& job)
{
    ++this->counters().cancelled;
    job.call->answer(499, error_body("cancelled"));
}

boost::asio::awaitable<void> target_leaf::wait_while_stalled()
{
    while (this->faults.find(fault_kind::stall, clock::now()))
    {
        co_await this->sleep_for(stall_poll);
    }
}

boost::asio::awaitable<void> target_leaf::sleep_for(clock::duration delay)
{
    boost::asio::steady_timer timer(this->context, delay);
    co_await timer.async_wait(as_tuple_awaitable);
}

double target_leaf::draw()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->generator);
}

bool target_leaf::applies(fault_kind kind)
{
    return this->faults.applies(kind, clock::now(), this->draw());
}

const leaf& target_leaf::description() const
{
    return this->leaf_description;
}

const leaf_record& target_leaf::record() const
{
    return this->endpoint ? this->endpoint->record
                          : this->record_without_endpoint;
}

leaf_record& target_leaf::counters()
{
    return this->endpoint ? this->endpoint->record
                          : this->record_without_endpoint;
}

void target_leaf::reset_record()
{
    this->counters().reset();
}

} // namespace basilpath::standin
