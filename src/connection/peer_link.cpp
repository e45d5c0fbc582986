#include "connection/peer_link.hpp"

#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nng/protocol/pipeline0/push.h>

#include <iterator>
#include <utility>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t queue_limit_messages = 20'000;
constexpr std::size_t batch_limit_messages = 256;
constexpr std::chrono::milliseconds queued_time_limit = 400ms;
constexpr std::chrono::milliseconds pause_limit = 300ms;
constexpr std::chrono::milliseconds dial_grace = 150ms;
constexpr nng_duration redial_least_ms = 20;
constexpr nng_duration redial_most_ms = 300;
constexpr nng_duration send_timeout_ms = 300;

} // namespace

peer_link::peer_link(boost::asio::io_context& context, peer_address to,
                     peer_address own_address, incarnation own,
                     peer_traffic& counters, const peer_hub_options& options)
    : context(context), to(std::move(to)), own_address(std::move(own_address)),
      own(own), counters(counters), options(options), timer(context)
{
    nng_aio_alloc(
        &this->aio,
        [](void* user)
        {
            auto& link = *static_cast<peer_link*>(user);
            link.on_sent(nng_aio_result(link.aio));
        },
        this);
    nng_aio_set_timeout(this->aio, send_timeout_ms);
}

peer_link::~peer_link()
{
    nng_aio_stop(this->aio);
    nng_aio_free(this->aio);
}

void peer_link::start()
{
    this->heard_at = std::chrono::steady_clock::now();
    this->used_at = this->heard_at;
    this->dial();
    boost::asio::co_spawn(
        this->context,
        [self = this->shared_from_this()] { return self->run(); },
        boost::asio::detached);
}

void peer_link::stop()
{
    if (!std::exchange(this->stopped, true))
    {
        this->queue.clear();
        this->hang_up();
        this->timer.cancel();
    }
}

bool peer_link::send(wire::Envelope message)
{
    const auto now = std::chrono::steady_clock::now();
    if (!message.has_heartbeat())
    {
        // Also when nothing can be sent: as long as the peer is wanted, the
        // link keeps asking whether it is back.
        this->used_at = now;
        this->unanswered_since = this->unanswered_since.value_or(now);
    }
    if (this->stopped || !this->responsive() ||
        this->queue.size() >= queue_limit_messages)
    {
        ++this->counters.dropped;
        return false;
    }
    this->queue.push_back({std::move(message), now});
    this->timer.cancel();
    return true;
}

void peer_link::heard()
{
    this->heard_at = std::chrono::steady_clock::now();
    this->awaiting_answer = false;
    this->unanswered_since.reset();
}

bool peer_link::responsive() const
{
    const auto now = std::chrono::steady_clock::now();
    const bool silent = this->awaiting_answer &&
                        now - this->asked_at >= this->options.silence_limit;
    return this->connected() && !silent;
}

// Tells whether the link stands, or may still come to stand after a dial.
bool peer_link::connected() const
{
    return this->pipes > 0 ||
           std::chrono::steady_clock::now() - this->dialled_at < dial_grace;
}

std::size_t peer_link::queued() const
{
    return this->queue.size();
}

bool peer_link::closable() const
{
    return this->queue.empty() &&
           std::chrono::steady_clock::now() - this->used_at >
               this->options.close_limit;
}

// Empties the queue, batch by batch, until the link is stopped.
boost::asio::awaitable<void> peer_link::run()
{
    const auto self = this->shared_from_this();
    while (!this->stopped)
    {
        co_await this->wait_for_work();
        const wire::Batch batch = this->take_batch();
        if (this->stopped || batch.envelopes_size() == 0)
        {
            continue;
        }
        const std::size_t length = batch.ByteSizeLong();
        nng_msg* message = nullptr;
        nng_msg_alloc(&message, length);
        batch.SerializeToArray(nng_msg_body(message), static_cast<int>(length));
        if (co_await this->transmit(message) != 0)
        {
            nng_msg_free(message);
            this->counters.dropped +=
                static_cast<std::uint64_t>(batch.envelopes_size());
            continue;
        }
        ++this->counters.messages_sent;
        this->counters.bytes_sent += length;
    }
}

// Returns when something is queued, or after one heartbeat interval.
boost::asio::awaitable<void> peer_link::wait_for_work()
{
    if (this->queue.empty())
    {
        const auto slept_at = std::chrono::steady_clock::now();
        this->timer.expires_after(this->options.heartbeat_interval);
        co_await this->timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        const auto now = std::chrono::steady_clock::now();
        if (now - slept_at > this->options.heartbeat_interval + pause_limit)
        {
            // This process was paused: the silence was its own.
            this->asked_at = now;
        }
    }
    this->check_silence();
}

// Asks the peer of a used link for a sign of life; makes the link anew when
// none came.
void peer_link::check_silence()
{
    const auto now = std::chrono::steady_clock::now();
    if (this->stopped || now - this->used_at > this->options.idle_limit)
    {
        return;
    }
    if (this->heartbeat_due(now))
    {
        this->awaiting_answer = true;
        this->asked_at = now;
        this->ask();
    }
    else if (this->awaiting_answer &&
             now - this->asked_at > 2 * this->options.silence_limit)
    {
        log_event(log_level::warning, "peer_silent",
                  {{"peer", this->to.value}});
        this->hang_up();
        this->dial();
        this->asked_at = now - this->options.silence_limit;
        this->ask();
    }
}

// Tells whether the peer should be asked: soon when a message has had nothing
// after it, now and then when all is answered.
bool peer_link::heartbeat_due(time_point now) const
{
    if (this->awaiting_answer)
    {
        return false;
    }
    return this->unanswered_since
               ? now - *this->unanswered_since >=
                     this->options.heartbeat_interval
               : now - this->heard_at >= this->options.idle_heartbeat;
}

// Queues a question for a sign of life.
void peer_link::ask()
{
    wire::Envelope question;
    question.mutable_heartbeat();
    this->queue.push_back(
        {std::move(question), std::chrono::steady_clock::now()});
}

// Hands a message to nng; the result is 0 when nng has taken it over.
boost::asio::awaitable<int> peer_link::transmit(nng_msg* message)
{
    auto initiate = [this, message](auto handler)
    {
        using handler_type = decltype(handler);
        auto shared = std::make_shared<handler_type>(std::move(handler));
        this->on_sent = [shared, &context = this->context](int result)
        {
            boost::asio::post(context, [shared, result]
                              { std::move (*shared)(result); });
        };
        nng_aio_set_msg(this->aio, message);
        nng_send_aio(this->socket, this->aio);
    };
    co_return co_await boost::asio::async_initiate<
        const boost::asio::use_awaitable_t<>&, void(int)>(
        std::move(initiate), boost::asio::use_awaitable);
}

// Takes what waits, up to a bound, and drops what has waited too long.
wire::Batch peer_link::take_batch()
{
    wire::Batch batch;
    batch.set_from(this->own_address.value);
    batch.set_incarnation(this->own.value);
    const auto now = std::chrono::steady_clock::now();
    batch.set_sent_us(
        std::chrono::duration_cast<microseconds>(now.time_since_epoch())
            .count());
    while (!this->queue.empty() &&
           batch.envelopes_size() < static_cast<int>(batch_limit_messages))
    {
        queued_message& first = this->queue.front();
        if (now - first.since <= queued_time_limit)
        {
            const auto waited =
                std::chrono::duration_cast<microseconds>(now - first.since);
            first.message.set_delay_us(
                static_cast<std::uint64_t>(waited.count()));
            *batch.add_envelopes() = std::move(first.message);
        }
        else
        {
            ++this->counters.dropped;
        }
        this->queue.pop_front();
    }
    return batch;
}

void peer_link::dial()
{
    const std::string url = "tcp://" + this->to.value;
    nng_push0_open(&this->socket);
    nng_socket_set_int(this->socket, NNG_OPT_SENDBUF, 0);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, redial_least_ms);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, redial_most_ms);
    this->watch_pipes();
    this->dialled_at = std::chrono::steady_clock::now();
    nng_dial(this->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

// Has nng tell when the link comes to stand and when it is lost, so that a peer
// whose process has ended is known at once.
void peer_link::watch_pipes()
{
    const auto changed = [](nng_pipe, nng_pipe_ev event, void* user)
    {
        auto& link = *static_cast<peer_link*>(user);
        const bool added = event == NNG_PIPE_EV_ADD_POST;
        boost::asio::post(link.context,
                          [weak = link.weak_from_this(), added]
                          {
                              if (const auto alive = weak.lock())
                              {
                                  alive->pipe_changed(added);
                              }
                          });
    };
    nng_pipe_notify(this->socket, NNG_PIPE_EV_ADD_POST, changed, this);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_REM_POST, changed, this);
}

// Counts the connections of the link. The peer has shown that it is alive when
// one is made.
void peer_link::pipe_changed(bool added)
{
    this->pipes += added ? 1 : -1;
    if (added)
    {
        this->heard();
    }
    else if (this->pipes == 0 && !this->stopped)
    {
        this->queue.clear();
        log_event(log_level::info, "peer_disconnected",
                  {{"peer", this->to.value}});
    }
}

void peer_link::hang_up()
{
    nng_close(this->socket);
}

} // namespace basilpath
