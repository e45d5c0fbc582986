#include "process/entry_server.hpp"

#include "connection/http_exchange.hpp"
#include "connection/http_server.hpp"
#include "process/entry_views.hpp"
#include "process/load_exchange.hpp"
#include "process/log.hpp"
#include "process/random_bytes.hpp"
#include "process/state_subscription.hpp"
#include "request/execute_session.ipp"
#include "request/query_session.ipp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace basilpath
{

namespace
{

using real_context = entry_context<real_runtime, peer_hub>;
using real_home = home<real_runtime, peer_hub>;
using real_query = query_session<real_runtime, peer_hub>;
using real_execute = execute_session<real_runtime, peer_hub>;
using time_point = std::chrono::steady_clock::time_point;

constexpr std::size_t secret_bytes = 32;
constexpr milliseconds idle_poll{20};

// Makes the HTTP answer to a request that was run or refused.
http_answer to_http(const query_answer& answer)
{
    http_answer made{info(answer.code).http_status,
                     to_json_text(answer),
                     "application/json",
                     {}};
    if (answer.retry_after)
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(*answer.retry_after);
        made.headers.push_back(
            {"Retry-After", std::to_string(seconds.count())});
    }
    return made;
}

} // namespace

struct entry_server::implementation
    : std::enable_shared_from_this<entry_server::implementation>
{
    implementation(boost::asio::io_context& context,
                   const entry_settings& settings)
        : context(context), settings(settings), own(random_number()),
          clockwork(context, random_number()),
          hub(context, peer_address(settings.peer_listen), own,
              [this](const peer_address& from, incarnation sender,
                     wire::Envelope message)
              { this->receive(from, sender, std::move(message)); }),
          subscription(context, hub, peer_address(settings.agent_address),
                       "entry"),
          shared(std::make_shared<real_context>(real_context{
              this->clockwork, this->hub, host_id(settings.host), this->own,
              [this]
              {
                  return this->subscription.current();
              }})),
          own_home(std::make_shared<real_home>(
              this->shared, random_bytes(secret_bytes),
              static_cast<std::size_t>(settings.outcome_limit))),
          loads(this->clockwork, this->hub, host_id(settings.host)),
          burn(std::chrono::duration_cast<microseconds>(
                   real_runtime::clock::now().time_since_epoch()),
               settings.burn_scale),
          server(
              context,
              {settings.callers_listen,
               static_cast<std::size_t>(settings.body_limit_bytes),
               plain_answer(result_code::body_too_large,
                            "the body is longer than http.body_limit_bytes")},
              [this](const std::shared_ptr<http_exchange>& exchange)
              { this->serve(exchange); })
    {
    }

    // Time that has passed since a moment.
    static milliseconds age(time_point since)
    {
        return std::chrono::duration_cast<milliseconds>(
            real_runtime::clock::now() - since);
    }

    // Notes when another document takes force.
    void watch_document()
    {
        this->subscription.on_change(
            [this](const std::shared_ptr<const system_state>& state)
            {
                const auto number = state->configuration
                                        ? state->configuration->number
                                        : document_number(0);
                if (number != this->document_seen)
                {
                    this->document_seen = number;
                    this->document_at = real_runtime::clock::now();
                }
            });
    }

    // Hands a message of another process to whom it concerns.
    void receive(const peer_address& from, incarnation sender,
                 wire::Envelope message)
    {
        switch (message.body_case())
        {
        case wire::Envelope::kState:
            this->subscription.receive(message.state());
            break;
        case wire::Envelope::kLoad:
            this->loads.receive(message.load());
            break;
        case wire::Envelope::kShardResults:
            this->route(message.shard_results().request(), from, sender,
                        message);
            break;
        case wire::Envelope::kLeafExecuteResult:
            this->route(message.leaf_execute_result().request(), from, sender,
                        message);
            break;
        case wire::Envelope::kHomeExecuteResult:
            this->route(message.home_execute_result().request(), from, sender,
                        message);
            break;
        case wire::Envelope::kHomeExecute:
            boost::asio::co_spawn(this->context,
                                  this->run_for_peer(from, std::move(message)),
                                  boost::asio::detached);
            break;
        default:
            log_event(log_level::debug, "message_ignored",
                      {{"from", from.value},
                       {"kind", static_cast<int>(message.body_case())}});
            break;
        }
    }

    void route(const std::string& request, const peer_address& from,
               incarnation sender, wire::Envelope& message)
    {
        this->shared->router.deliver(request_id(request),
                                     {from, sender, std::move(message)});
    }

    // Runs a request to execute that another host has passed on.
    boost::asio::awaitable<void> run_for_peer(peer_address from,
                                              wire::Envelope message)
    {
        const auto self = this->shared_from_this();
        const wire::HomeExecute& asked = message.home_execute();
        const microseconds delay{message.delay_us()};
        caller_request request;
        request.kind = request_kind::execute;
        request.service = service_name(asked.service());
        request.request_class = class_name(asked.class_name());
        request.budget = microseconds(asked.budget_us()) - delay;
        request.query = asked.query();
        request.lookup_key = asked.lookup_key();
        request.key = asked.key();
        request.token = asked.token();
        request.print = fingerprint_of(request.service, request.query);
        query_answer answer;
        answer.code = result_code::token_forged;
        const auto token = parse_token(request.token);
        if (token && token->home == this->shared->own_host)
        {
            answer = co_await this->own_home->execute(
                request_id(asked.request()), std::move(request), *token,
                real_runtime::clock::now());
        }
        wire::Envelope reply;
        wire::HomeExecuteResult& result = *reply.mutable_home_execute_result();
        result.set_request(asked.request());
        result.set_code(static_cast<std::uint32_t>(answer.code));
        result.set_version(answer.version.value);
        result.set_items(answer.items);
        result.set_reason(answer.reason);
        this->hub.send(from, std::move(reply));
    }

    // Answers one request of a caller or an operator.
    void serve(const std::shared_ptr<http_exchange>& exchange)
    {
        const bool query = exchange->path == "/v1/query";
        if (!query && exchange->path != "/v1/execute")
        {
            exchange->reply(show_view(this->parts(), *exchange));
        }
        else if (exchange->method != "POST")
        {
            exchange->reply(
                plain_answer(result_code::method_not_allowed,
                             exchange->path + " only accepts POST"));
        }
        else
        {
            this->serve_request(exchange, query ? request_kind::query
                                                : request_kind::execute);
        }
    }

    entry_parts parts()
    {
        return {*this->shared, *this->own_home,     this->burn,
                this->metrics, this->loads.loads(), this->draining};
    }

    // Checks a caller's request and starts its session.
    void serve_request(const std::shared_ptr<http_exchange>& exchange,
                       request_kind kind)
    {
        const auto arrived = real_runtime::clock::now();
        const auto state = this->subscription.current();
        if (!state->configuration)
        {
            exchange->reply(plain_answer(result_code::no_configuration,
                                         "no configuration is in force yet"));
            return;
        }
        auto parsed =
            parse_caller_request(exchange->body, kind, *state->configuration);
        if (!parsed.value)
        {
            exchange->reply(
                plain_answer(parsed.error.code, parsed.error.reason));
            return;
        }
        boost::asio::co_spawn(
            this->context,
            kind == request_kind::query
                ? this->run_query(exchange, std::move(*parsed.value), arrived)
                : this->run_execute(exchange, std::move(*parsed.value),
                                    arrived),
            boost::asio::detached);
    }

    boost::asio::awaitable<void>
    run_query(std::shared_ptr<http_exchange> exchange, caller_request request,
              time_point arrived)
    {
        const auto self = this->shared_from_this();
        const class_name name = request.request_class;
        const auto session = std::make_shared<real_query>(
            this->shared, std::move(request), arrived);
        exchange->on_cancel(
            [weak = std::weak_ptr(session)]
            {
                if (const auto alive = weak.lock())
                {
                    alive->cancel();
                }
            });
        const query_answer answer = co_await session->run();
        this->answer(*exchange, name, arrived, answer);
    }

    boost::asio::awaitable<void>
    run_execute(std::shared_ptr<http_exchange> exchange, caller_request request,
                time_point arrived)
    {
        const auto self = this->shared_from_this();
        const class_name name = request.request_class;
        const auto session = std::make_shared<real_execute>(
            this->shared, this->own_home, std::move(request), arrived);
        const query_answer answer = co_await session->run();
        this->answer(*exchange, name, arrived, answer);
    }

    // Tells other hosts now and then how busy this one is.
    boost::asio::awaitable<void> exchange_loads()
    {
        const auto owner = this->shared_from_this();
        boost::asio::steady_timer timer(this->context);
        while (!this->draining)
        {
            this->loads.tell(*this->subscription.current(),
                             this->shared->used());
            timer.expires_after(
                load_exchange<real_runtime, peer_hub>::round_interval);
            co_await timer.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
        }
    }

    // Counts an answer and gives it to the caller.
    void answer(http_exchange& exchange, const class_name& name,
                time_point arrived, const query_answer& answer)
    {
        const auto now = real_runtime::clock::now();
        const auto state = this->subscription.current();
        const request_class* const owner =
            state->configuration ? state->configuration->find_class(name)
                                 : nullptr;
        if (owner != nullptr)
        {
            const auto latency =
                std::chrono::duration_cast<microseconds>(now - arrived);
            this->metrics.record(*owner, answer.code, latency);
            this->burn.record(*owner, {answer.code, answer.covered, latency},
                              std::chrono::duration_cast<microseconds>(
                                  now.time_since_epoch()));
        }
        exchange.reply(to_http(answer));
    }

    boost::asio::io_context& context;
    entry_settings settings;
    incarnation own;
    real_runtime clockwork;
    peer_hub hub;
    state_subscription subscription;
    std::shared_ptr<real_context> shared;
    std::shared_ptr<real_home> own_home;
    load_exchange<real_runtime, peer_hub> loads;
    burn_tracker burn;
    entry_metrics metrics;
    http_server server;
    bool draining = false;
    time_point started_at = real_runtime::clock::now();
    time_point document_at = started_at;
    document_number document_seen;
};

entry_server::entry_server(boost::asio::io_context& context,
                           const entry_settings& settings)
    : self(std::make_shared<implementation>(context, settings))
{
}

entry_server::~entry_server() = default;

void entry_server::start()
{
    this->self->watch_document();
    this->self->subscription.start();
    boost::asio::co_spawn(this->self->context, this->self->exchange_loads(),
                          boost::asio::detached);
    log_event(log_level::info, "started",
              {{"host", this->self->settings.host},
               {"callers", this->self->server.port()},
               {"peer", this->self->hub.address().value}});
}

boost::asio::awaitable<void> entry_server::drain()
{
    const auto owner = this->self;
    owner->draining = true;
    owner->server.close_connections();
    log_event(log_level::info, "draining",
              {{"time_ms", owner->settings.drain_ms}});
    boost::asio::steady_timer timer(owner->context);
    timer.expires_after(milliseconds(owner->settings.drain_ms));
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    while (owner->server.in_flight() > 0 || owner->hub.queued() > 0)
    {
        timer.expires_after(idle_poll);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    log_event(log_level::info, "drained", {});
}

} // namespace basilpath
