#include "node/connection/http_session.hpp"

#include "node/connection/socket_options.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// Size of one read; a typical request fits.
constexpr std::size_t read_bytes = 4096;

// Bound on pipelined bytes buffered while a request is answered. Beyond it, the
// session stops reading until the answer is sent. Open connections bound the
// sum.
constexpr std::size_t max_read_ahead_bytes = 8'192;

// Bound on buffered bytes that complete no element of a request, unless its
// head may be longer.
constexpr std::size_t max_element_bytes = 65'536;

// Time within which the first request of a new connection arrives.
constexpr milliseconds first_request_time{200};

// Longest time for which a connection that ends waits until the caller has
// received what was sent, the time for which it waits when the kernel does not
// report that, and the period of the check.
constexpr milliseconds max_delivery_time{2'000};
constexpr milliseconds unknown_delivery_time{100};
constexpr milliseconds delivery_check_interval{20};

// Longest time by which the acknowledgement of received bytes is delayed.
constexpr milliseconds max_acknowledgement_delay{200};

instant now()
{
    return to_instant(std::chrono::steady_clock::now());
}

// Longest time for which a caller may take no byte of its answer while memory
// is scarce.
constexpr milliseconds max_stall_when_scarce{1'000};

// Bytes of a request that are read whatever memory is free. Open connections
// bound the sum.
constexpr std::size_t memory_allowance = 8'192;

// Time after which a caller whose request found no memory may send it again.
constexpr std::string_view retry_after_seconds = "0.5";

// Maps the reason why a request cannot be read to the HTTP status of the
// response.
http::status status_of(const boost::system::error_code& why)
{
    if (why == boost::system::errc::not_enough_memory)
    {
        return http::status::service_unavailable;
    }
    if (why == http::error::header_limit)
    {
        return http::status::request_header_fields_too_large;
    }
    if (why == http::error::body_limit)
    {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

} // namespace

http_session::http_session(asio::ip::tcp::socket socket,
                           std::shared_ptr<http_server_state> server)
    : socket(std::move(socket)), server(std::move(server)), waiting_since(now())
{
    set_no_delay(this->socket);
}

asio::awaitable<void> http_session::run()
{
    const auto self = this->shared_from_this();
    while (this->socket.is_open())
    {
        // Step 1. Read a complete request.
        parser request;
        request.header_limit(this->server->limits.header_bytes);
        request.body_limit(this->server->limits.body_bytes);
        request.eager(true);
        const bool complete = co_await this->read_request(request);
        if (!complete || !this->server->handler)
        {
            break;
        }

        // Step 2. Run the handler and watch for the caller disconnecting.
        const bool keep = request.get().keep_alive();
        const unsigned version = request.get().version();
        this->start_handler(std::make_shared<http_request>(request.release()));
        co_await this->await_answer();
        if (!this->answer)
        {
            break;
        }

        // Step 3. Send the response.
        http_response response = std::move(*this->answer);
        this->answer.reset();
        response.version(version);
        response.keep_alive(
            keep && response.keep_alive() &&
            (!this->server->draining || this->unread_bytes() > 0));
        const bool keep_open = co_await this->write(std::move(response));
        this->answering = false;
        this->waiting_since = now();
        if (!keep_open)
        {
            break;
        }
    }
    this->answering = false;
    co_await this->await_delivery();
    this->log_unread();
    this->close();
}

void http_session::close_if_expired(instant time)
{
    if (this->sending && time - this->waiting_since > this->stall_limit())
    {
        this->close();
    }
    if (this->answering)
    {
        return;
    }
    const auto limit = this->reading ? this->server->limits.header_timeout
                                     : this->server->limits.idle_timeout;
    if (time - this->waiting_since > limit)
    {
        this->end_read();
    }
}

// Returns for how long a caller may take no byte of its answer. The time is
// short while answers that are not taken hold much of the host's memory.
milliseconds http_session::stall_limit() const
{
    const milliseconds usual = this->server->limits.idle_timeout;
    const bool scarce =
        this->server->memory && this->server->memory->owner().scarce();
    return scarce ? std::min(usual, max_stall_when_scarce) : usual;
}

void http_session::close_if_idle()
{
    const microseconds waited = now() - this->waiting_since;
    const bool request_expected = !this->used && waited < first_request_time;
    // A caller that has not received the last answer may send its next request
    // without having learned that the connection closes.
    const bool answer_undelivered =
        waited > max_acknowledgement_delay &&
        unacknowledged_bytes(this->socket).value_or(0) > 0;
    if (!this->answering && !this->reading && !request_expected &&
        !answer_undelivered)
    {
        this->end_read();
    }
}

// Ends the pending read and so the session. A read that has completed is not
// affected: its bytes may hold a whole request, which must be answered.
void http_session::end_read()
{
    this->ending = true;
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
}

// Returns whether the session ends without reading on: bytes that have arrived
// on an idle connection may be a request.
bool http_session::must_end() const
{
    boost::system::error_code ignored;
    return this->ending &&
           (this->reading || this->socket.available(ignored) == 0);
}

// Returns the id of the request that is being answered; empty if there is none
// or it has not been decoded.
std::string http_session::current_request() const
{
    return this->answering && this->caller ? this->caller->request().value
                                           : std::string();
}

// Returns the bytes that have arrived and belong to no request in progress.
std::size_t http_session::unread_bytes() const
{
    boost::system::error_code error;
    const std::size_t available = this->socket.available(error);
    return this->buffer.size() + (error ? 0 : available);
}

bool http_session::unfinished() const
{
    return this->answering || this->reading || this->unread_bytes() > 0;
}

void http_session::log_unfinished(instant now) const
{
    if (!this->answering)
    {
        this->log_unread();
        return;
    }
    log_event(log_level::warning, "request_cut",
              {{"request", this->current_request()},
               {"outcome", this->sending ? "cut_while_sending" : "cut_waiting"},
               {"status", 0},
               {"took_us", (now - this->waiting_since).count()},
               {"unread_bytes", this->unread_bytes()}});
}

// Logs the bytes that remain unread when the connection ends.
void http_session::log_unread() const
{
    const std::size_t bytes = this->unread_bytes();
    if (bytes > 0)
    {
        log_event(log_level::warning, "bytes_unread",
                  {{"bytes", bytes},
                   {"reading", this->reading},
                   {"draining", this->server->draining},
                   {"request_before",
                    this->caller ? this->caller->request().value : ""}});
    }
}

// Returns how many bytes may be buffered that complete no element of a request.
std::size_t http_session::buffer_limit() const
{
    return std::max<std::size_t>(this->server->limits.header_bytes,
                                 max_element_bytes) +
           read_bytes;
}

asio::awaitable<bool> http_session::read_request(parser& request)
{
    this->reading = this->buffer.size() > 0;
    this->waiting_since = now();
    this->charge = this->server->memory
                       ? std::make_shared<memory_charge>(this->server->memory,
                                                         memory_allowance)
                       : nullptr;
    boost::system::error_code failure;
    while (!request.is_done())
    {
        if (this->buffer.size() > 0)
        {
            const auto used = request.put(this->buffer.data(), failure);
            this->buffer.consume(used);
            if (request.is_done())
            {
                break;
            }
            // The parser bounds the head and the body, but not chunk headers
            // and trailers.
            if (this->buffer.size() >= this->buffer_limit())
            {
                failure = http::error::header_limit;
            }
            if (!this->charge_memory(request))
            {
                failure =
                    make_error_code(boost::system::errc::not_enough_memory);
            }
            if (failure && failure != http::error::need_more)
            {
                co_await this->reject(failure);
                co_return false;
            }
        }
        if (this->must_end())
        {
            co_return false;
        }
        const auto chunk = this->buffer.prepare(read_bytes);
        const auto [error, count] = co_await this->socket.async_read_some(
            chunk, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted && this->ending)
        {
            continue;
        }
        if (error)
        {
            co_return false;
        }
        this->ending = false;
        this->buffer.commit(count);
        if (!this->reading)
        {
            this->reading = true;
            this->waiting_since = now();
        }
    }
    this->reading = false;
    this->answering = true;
    this->waiting_since = now();
    co_return true;
}

// Counts the bytes of the request read so far. Returns false when the host has
// no room for them.
bool http_session::charge_memory(const parser& request)
{
    return !this->charge ||
           this->charge->try_resize(request.get().body().capacity() +
                                    this->buffer.size());
}

// Keeps reading while the handler runs: end of file or an error means that the
// caller has disconnected; further bytes belong to the next request.
asio::awaitable<void> http_session::await_answer()
{
    while (!this->answer)
    {
        if (this->buffer.size() >= max_read_ahead_bytes)
        {
            // Without reading, a disconnect is detected only by a reset.
            co_await this->socket.async_wait(
                asio::ip::tcp::socket::wait_error,
                asio::bind_cancellation_slot(
                    this->answer_ready.slot(),
                    asio::as_tuple(asio::use_awaitable)));
            if (!this->answer)
            {
                this->caller->notify_disconnect();
                co_return;
            }
            continue;
        }
        const auto chunk = this->buffer.prepare(read_bytes);
        const auto [error, count] = co_await this->socket.async_read_some(
            chunk,
            asio::bind_cancellation_slot(this->answer_ready.slot(),
                                         asio::as_tuple(asio::use_awaitable)));
        this->buffer.commit(count);
        if (error && !this->answer)
        {
            this->caller->notify_disconnect();
            co_return;
        }
    }
}

asio::awaitable<bool> http_session::write(http_response response)
{
    response.prepare_payload();
    const bool keep = response.keep_alive();
    http::response_serializer<http::string_body> serializer(response);
    boost::system::error_code error;
    std::size_t sent = 0;
    this->sending = true;
    while (!error && !serializer.is_done())
    {
        this->waiting_since = now();
        const auto [failure, count] = co_await http::async_write_some(
            this->socket, serializer, asio::as_tuple(asio::use_awaitable));
        error = failure;
        sent += count;
    }
    this->sending = false;
    if (this->caller)
    {
        this->caller->hold(nullptr);
    }
    if (error)
    {
        log_event(log_level::info, "answer_not_sent",
                  {{"request", this->current_request()},
                   {"status", response.result_int()},
                   {"bytes", response.body().size()},
                   {"sent_bytes", sent},
                   {"reason", error.message()}});
    }
    co_return !error && keep;
}

asio::awaitable<void> http_session::reject(const boost::system::error_code& why)
{
    http_response response(status_of(why), 11);
    response.keep_alive(false);
    response.set(http::field::content_type, "text/plain");
    response.body() = "request not read: " + why.message() + "\n";
    if (response.result() == http::status::service_unavailable)
    {
        response.set(http::field::retry_after, retry_after_seconds);
    }
    log_event(log_level::warning, "request_rejected",
              {{"reason", why.message()}, {"status", response.result_int()}});
    co_await this->write(std::move(response));
}

void http_session::start_handler(std::shared_ptr<http_request> request)
{
    const microseconds trip = round_trip(this->socket);
    const bool connected_anew = !std::exchange(this->used, true);
    this->caller = std::make_shared<caller_presence>(
        trip / 2 + (connected_anew ? trip : microseconds(0)), trip / 2);
    this->caller->hold(std::exchange(this->charge, nullptr));
    const auto self = this->shared_from_this();
    asio::co_spawn(
        this->socket.get_executor(),
        this->server->handler(std::move(request), this->caller),
        [self](const std::exception_ptr& failure, http_response response)
        {
            if (failure)
            {
                log_event(log_level::error, "handler_failed", {});
                response = http_response(http::status::bad_gateway, 11);
            }
            self->answer = std::move(response);
            self->answer_ready.emit(asio::cancellation_type::all);
        });
}

// Waits until the caller has received what was sent, or for a limited time:
// closing a socket with unread bytes resets the connection, and a reset
// discards what has not been delivered. Reads nothing meanwhile, as a request
// that has been read must be answered.
asio::awaitable<void> http_session::await_delivery()
{
    const auto outstanding = unacknowledged_bytes(this->socket);
    if (outstanding == 0u)
    {
        co_return;
    }
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    asio::steady_timer timer(this->socket.get_executor());
    const instant deadline =
        now() + (outstanding ? max_delivery_time : unknown_delivery_time);
    while (this->socket.is_open() && unacknowledged_bytes(this->socket) != 0u &&
           now() < deadline)
    {
        timer.expires_after(delivery_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void http_session::close()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

} // namespace basilpath
