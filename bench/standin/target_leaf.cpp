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

constexpr auto quiet = boost::asio::as_tuple(boost::asio::use_awaitable);
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
    : context(context), options(options), about(std::move(description)),
      items(items), executions(std::move(executions)),
      generator(options.seed ^ std::hash<leaf_id>{}(this->about.id)),
      service_times(options, this->generator()),
      slots(this->about.slots, options.queue_limit),
      told_load(options.report_lag)
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
    this->endpoint->set_limit(this->about.connections);
    this->endpoint->open();
    return this->endpoint->port();
}

// Stops at once: every connection ends and every job is lost.
void target_leaf::crash(std::chrono::milliseconds restart)
{
    if (!this->endpoint || !this->endpoint->listening())
    {
        return;
    }
    ++this->counters().crashes;
    log_event(
        log_level::info, "leaf_crash",
        {{"leaf", this->about.id.value}, {"restart_ms", restart.count()}});
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
    const bool fresh = !std::exchange(call->connection->used, true);
    if (call->path == "/v1/leaf")
    {
        boost::asio::co_spawn(this->context, this->serve(call, fresh),
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

// Tells the load as it was some time ago, or none at all when it lies.
void target_leaf::report(leaf_call& call)
{
    call.answer(200, this->strikes(fault_kind::lying_load)
                         ? R"({"in_use":0,"queued":0})"
                         : this->told_load.text(this->slots, clock::now()));
}

// One request from its arrival to its answer.
boost::asio::awaitable<void> target_leaf::serve(call_ptr call, bool fresh)
{
    const auto self = this->shared_from_this();

    // Step 1. Set up the connection, and wait while the process hangs.
    if (fresh)
    {
        co_await this->sleep_for(this->about.connect_time);
    }
    co_await this->unstall();

    // Step 2. Read the request.
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

    // Step 3. Refuse what the leaf does not take.
    if (this->refuse(*job))
    {
        co_return;
    }

    // Step 4. Wait for a slot, work, and answer.
    this->jobs.emplace(job->number, job);
    if (co_await this->wait_for_slot(job) && co_await this->work(job))
    {
        co_await this->reply(job);
    }
    this->end(*job);
}

// Answers a request that is refused on arrival.
bool target_leaf::refuse(leaf_job& job)
{
    if (this->strikes(fault_kind::drain))
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
    if (this->strikes(fault_kind::busy))
    {
        ++this->counters().shed;
        job.call->answer(429, error_body("busy"));
        return true;
    }
    return false;
}

// Returns whether the job has got a slot; if not, it has been answered.
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
        co_await job->wake.async_wait(quiet);
    }
    if (job->lost)
    {
        co_return false;
    }
    if (job->cancelled)
    {
        this->withdraw(*job);
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

// Holds the slot for the service time. Returns whether the work was done.
boost::asio::awaitable<bool> target_leaf::work(job_ptr job)
{
    ++this->counters().started;
    if (job->request.execute)
    {
        job->run = this->executions->start(job->request.key,
                                           std::chrono::steady_clock::now());
    }
    const bool crashes =
        job->request.poison && this->strikes(fault_kind::crash_on_mark);
    fault slowness;
    slowness.factor = 1.0;
    if (this->strikes(fault_kind::slow))
    {
        slowness = this->faults.find(fault_kind::slow, clock::now())
                       .value_or(slowness);
    }
    job->wake.expires_after(
        crashes ? crash_delay : this->service_times.draw(slowness.factor));
    co_await job->wake.async_wait(quiet);
    co_await this->unstall();
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
        this->withdraw(*job);
        co_return false;
    }
    ++this->counters().finished;
    if (job->request.execute)
    {
        this->executions->finish(job->request.key);
    }
    co_return true;
}

// Sends the answer, or what a fault makes of it.
boost::asio::awaitable<void> target_leaf::reply(job_ptr job)
{
    leaf_request shown = job->request;
    if (this->strikes(fault_kind::wrong_echo))
    {
        shown.request += "-x";
    }
    if (this->strikes(fault_kind::wrong_version))
    {
        ++shown.target.version.value;
    }
    const std::string body =
        make_reply(shown, this->about.id, this->items, job->run);
    if (distort_reply(*job->call, body,
                      [this](fault_kind kind) { return this->strikes(kind); }))
    {
        co_return;
    }
    job->call->answer(200, body);
    if (this->strikes(fault_kind::late_duplicate))
    {
        const auto kept = job->call->connection;
        this->end(*job);
        co_await this->sleep_for(duplicate_delay);
        kept->send_raw(raw_response(body, 1.0));
    }
}

// Gives the job's slot to the next one that waits.
void target_leaf::end(leaf_job& job)
{
    if (this->jobs.erase(job.number) == 0)
    {
        return;
    }
    const auto next = this->slots.finish(job.number);
    if (next)
    {
        leaf_job& heir = *this->jobs.at(*next);
        heir.has_slot = true;
        heir.wake.cancel();
    }
}

void target_leaf::withdraw(leaf_job& job)
{
    ++this->counters().cancelled;
    job.call->answer(499, error_body("cancelled"));
}

// Waits.

boost::asio::awaitable<void> target_leaf::unstall()
{
    while (this->faults.find(fault_kind::stall, clock::now()))
    {
        co_await this->sleep_for(stall_poll);
    }
}

boost::asio::awaitable<void> target_leaf::sleep_for(clock::duration delay)
{
    boost::asio::steady_timer timer(this->context, delay);
    co_await timer.async_wait(quiet);
}

double target_leaf::draw()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->generator);
}

bool target_leaf::strikes(fault_kind kind)
{
    return this->faults.strikes(kind, clock::now(), this->draw());
}

const leaf& target_leaf::description() const
{
    return this->about;
}

const leaf_record& target_leaf::record() const
{
    return this->endpoint ? this->endpoint->record : this->unlistened;
}

leaf_record& target_leaf::counters()
{
    return this->endpoint ? this->endpoint->record : this->unlistened;
}

void target_leaf::reset_record()
{
    this->counters().reset();
}

} // namespace basilpath::standin
