#include "load/load_worker.hpp"

#include "load/entry_protocol.hpp"
#include "load/load_plan.hpp"
#include "request/result_code.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <utility>

namespace basilpath::load
{

namespace
{

constexpr int host_attempt_limit = 3;

// Returns whether a caller may try another host at once: nothing was sent, or
// the host is shutting down.
bool may_try_other_host(const caller_answer& answer)
{
    return answer.transport == http_outcome::connect_failed ||
           answer.code ==
               static_cast<std::uint32_t>(result_code::shutting_down);
}

} // namespace

load_worker::load_worker(const load_plan& plan, const caller_options& options,
                         std::vector<arrival> arrivals, std::uint64_t seed)
    : plan(plan), options(options),
      arrivals(this->context, std::move(arrivals)), client(this->context)
{
    for (std::size_t caller = 0; caller < options.callers; ++caller)
    {
        this->directories.push_back(std::make_shared<caller_directory>(
            this->context, this->client, options.hosts, seed + caller));
    }
}

void load_worker::prepare()
{
    for (const auto& directory : this->directories)
    {
        boost::asio::co_spawn(this->context, directory->refresh(),
                              boost::asio::detached);
    }
    this->context.run();
    this->context.restart();
}

void load_worker::run(std::chrono::steady_clock::time_point start)
{
    this->arrivals.run(start, [this](const arrival& one) { this->start(one); });
}

const std::vector<std::shared_ptr<request_outcome>>&
load_worker::outcomes() const
{
    return this->finished;
}

std::size_t load_worker::unsent() const
{
    return this->not_sent;
}

// Starts a request and its resend, if it has one.
void load_worker::start(const arrival& one)
{
    if (this->in_progress >= this->options.in_progress_limit)
    {
        ++this->not_sent;
        return;
    }
    const auto request = std::make_shared<request_state>();
    request->outcome = std::make_shared<request_outcome>();
    request->outcome->scheduled = one;
    request->outcome->request =
        fmt::format("load{}-{}", this->plan.seed, one.number);
    request->directory =
        this->directories[one.number % this->directories.size()];
    request->directory->refresh_if_due();
    request->token = request->directory->token();
    this->finished.push_back(request->outcome);
    boost::asio::co_spawn(this->context, this->send_once(request, one.at),
                          boost::asio::detached);
    if (one.resend)
    {
        const microseconds again = one.at + this->mix_of(*request).resend_after;
        boost::asio::co_spawn(this->context, this->send_once(request, again),
                              boost::asio::detached);
    }
}

// Sends a request as a caller does: if a host is unreachable or shutting down,
// tries another.
boost::asio::awaitable<void>
load_worker::send_once(std::shared_ptr<request_state> request, microseconds at)
{
    ++this->in_progress;
    boost::asio::steady_timer timer(this->context, this->arrivals.time_of(at));
    co_await timer.async_wait(boost::asio::use_awaitable);
    request_outcome& outcome = *request->outcome;
    std::string host = request->directory->pick(request->first_host);
    if (outcome.sends == 0)
    {
        outcome.send_delay = this->arrivals.elapsed() - at;
        request->first_host = host;
    }
    const microseconds end =
        outcome.scheduled.at + this->mix_of(*request).deadline;
    for (int attempts_left = host_attempt_limit; attempts_left > 0;
         --attempts_left)
    {
        const auto rest =
            std::chrono::ceil<milliseconds>(end - this->arrivals.elapsed());
        if (rest <= milliseconds(0))
        {
            break;
        }
        const std::string name =
            fmt::format("{}.{}", outcome.request, ++outcome.sends);
        caller_answer answer =
            co_await this->send_request(*request, host, name, rest);
        const bool try_other_host = may_try_other_host(answer);
        outcome.answers.push_back(std::move(answer));
        if (!try_other_host)
        {
            break;
        }
        request->directory->mark_failed(host);
        host = request->directory->pick(host);
    }
    --this->in_progress;
}

// Sends one HTTP request and parses the reply.
boost::asio::awaitable<caller_answer>
load_worker::send_request(const request_state& request, const std::string& host,
                          const std::string& name, milliseconds deadline)
{
    const std::string& subject = request.outcome->scheduled.subject;
    const request_details details{name, subject, request.token, deadline};
    http_request sent =
        make_entry_request(host, this->mix_of(request), details);
    const http_reply reply = co_await this->client.send(std::move(sent));
    caller_answer answer =
        read_entry_reply(reply, this->mix_of(request), subject);
    answer.received = this->arrivals.elapsed();
    answer.host = host;
    answer.sent_name = name;
    co_return answer;
}

const traffic_mix& load_worker::mix_of(const request_state& request) const
{
    return this->plan.mixes[request.outcome->scheduled.mix];
}

} // namespace basilpath::load
