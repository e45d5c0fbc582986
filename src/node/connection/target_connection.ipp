#include "node/connection/http_types.hpp"
#include "node/connection/socket_options.hpp"
#include "node/connection/target_connection.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilpath
{

namespace target_connection_limits
{

/// Size of one read; a typical answer fits.
inline constexpr std::size_t read_bytes = 8192;

/// Limits on a response in bytes. Bodies are about 10 kB in the deployments.
/// `memory_budget` bounds all responses together.
inline constexpr std::uint64_t body_limit = 2'000'000;
inline constexpr std::uint32_t head_limit = 16'384;

/// Limit on buffered bytes that complete no element of a response, such as a
/// chunk header or a trailer: the parser does not bound those. The head is the
/// largest element that is buffered as a whole.
inline constexpr std::size_t buffer_limit = head_limit + read_bytes;

/// Bytes of a response that are read whatever memory is free, so that small
/// answers arrive. Open connections bound the sum.
inline constexpr std::size_t memory_allowance = buffer_limit;

/// A request of at most this size leaves in one flight with its head (RFC 6928:
/// ten segments), so that no replica answers before its end is on the way.
inline constexpr std::size_t initial_window = 14'600;

/// Used when the replica sends no Keep-Alive timeout.
inline constexpr milliseconds default_keep_alive_timeout{4'000};

} // namespace target_connection_limits

template <target_codec Codec>
target_connection<Codec>::target_connection(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address,
    std::shared_ptr<memory_budget::account> memory, callbacks handlers)
    : socket(executor), address(address), memory(std::move(memory)),
      handlers(std::move(handlers)), idle_or_connecting_since(now()),
      replica_keep_alive(target_connection_limits::default_keep_alive_timeout)
{
}

template <target_codec Codec>
boost::asio::awaitable<void> target_connection<Codec>::run()
{
    const auto self = this->shared_from_this();
    const auto [error] = co_await this->socket.async_connect(
        this->address, boost::asio::as_tuple(boost::asio::use_awaitable));
    if (!error && this->socket.is_open())
    {
        set_no_delay(this->socket);
        this->connected = true;
        this->use.local_port = local_port(this->socket);
        this->idle_or_connecting_since = now();
        this->handlers.ready(self);
        co_await this->read();
    }
    this->close_socket();
    if (this->call)
    {
        this->complete(
            {this->nothing_sent ? call_end::unsent : call_end::broken,
             {},
             now() - this->call->sent});
    }
    this->handlers.closed(self, this->connected);
}

template <target_codec Codec>
void target_connection<Codec>::send(const std::shared_ptr<target_call>& next,
                                    instant now)
{
    this->call = next;
    this->call->sent = now;
    this->call->on_wire = true;
    this->start_parser();
    const auto timeout =
        std::chrono::duration_cast<milliseconds>(this->call->deadline - now);
    this->request_bytes = Codec::encode_call(*this->call, timeout);
    this->handlers.bytes_transferred(this->request_bytes.size());
    this->writing = true;
    ++this->use.calls;
    const auto self = this->shared_from_this();
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->request_bytes),
        [self](const boost::system::error_code& error, std::size_t sent)
        {
            self->sent_bytes = sent;
            return boost::asio::transfer_all()(error, sent);
        },
        [self](const boost::system::error_code& error, std::size_t written)
        {
            self->writing = false;
            self->sent_bytes = written;
            if (error)
            {
                self->nothing_sent = written == 0;
                self->close_socket();
            }
        });
}

template <target_codec Codec>
void target_connection<Codec>::close()
{
    this->abandoned_at_close =
        this->abandoned_at_close || (this->call && this->call->abandoned);
    this->close_socket();
}

template <target_codec Codec>
void target_connection<Codec>::close_socket()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

// Reads also while idle, to detect a closed connection or unexpected bytes at
// once.
template <target_codec Codec>
boost::asio::awaitable<void> target_connection<Codec>::read()
{
    while (this->socket.is_open())
    {
        const auto chunk =
            this->buffer.prepare(target_connection_limits::read_bytes);
        const auto [error, count] = co_await this->socket.async_read_some(
            chunk, boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error)
        {
            if (error == boost::asio::error::eof)
            {
                this->parse_eof();
            }
            co_return;
        }
        this->buffer.commit(count);
        this->handlers.bytes_transferred(count);
        if (!this->parse())
        {
            co_return;
        }
    }
}

// Parses the buffered bytes. Returns false when the connection must be closed.
template <target_codec Codec>
bool target_connection<Codec>::parse()
{
    while (this->buffer.size() > 0)
    {
        if (!this->call)
        {
            return false; // Bytes that answer no request.
        }
        boost::system::error_code parse_error;
        const auto used = this->response->put(this->buffer.data(), parse_error);
        this->buffer.consume(used);
        if (this->response->is_header_done() && !this->has_valid_status())
        {
            return false;
        }
        if (this->response->is_done())
        {
            if (!this->finish_response())
            {
                return false;
            }
            continue;
        }
        if (!this->charge_memory())
        {
            return false;
        }
        if (parse_error == boost::beast::http::error::need_more)
        {
            return this->buffer.size() < target_connection_limits::buffer_limit;
        }
        if (parse_error)
        {
            return false;
        }
    }
    return true;
}

template <target_codec Codec>
bool target_connection<Codec>::has_valid_status() const
{
    const unsigned status = this->response->get().result_int();
    if (is_http_status(status))
    {
        return true;
    }
    log_event(log_level::warning, "answer_status_invalid",
              {{"request", this->call->query->id.value},
               {"replica", this->call->to.value},
               {"status", status}});
    return false;
}

// Counts the bytes of the answer read so far. Returns false when the host has
// no room for them.
template <target_codec Codec>
bool target_connection<Codec>::charge_memory()
{
    const std::size_t bytes =
        this->response->get().body().capacity() + this->buffer.size();
    if (this->charge->try_resize(bytes))
    {
        return true;
    }
    log_event(log_level::warning, "answer_exceeds_memory",
              {{"request", this->call->query->id.value},
               {"replica", this->call->to.value},
               {"bytes", bytes},
               {"held_by_replica", this->memory->held()},
               {"held", this->memory->owner().held()},
               {"limit", this->memory->owner().limit()}});
    return false;
}

// Handles end of file: it completes a response that has no length.
template <target_codec Codec>
void target_connection<Codec>::parse_eof()
{
    if (!this->call || !this->response->got_some() ||
        !this->response->is_header_done())
    {
        return;
    }
    boost::system::error_code parse_error;
    this->response->put_eof(parse_error);
    if (!parse_error && this->response->is_done())
    {
        this->must_close = true;
        this->finish_response();
    }
}

// Reports a complete response. Returns false when the connection must be
// closed.
template <target_codec Codec>
bool target_connection<Codec>::finish_response()
{
    const bool has_length = !this->response->need_eof();
    const bool keep = this->response->keep_alive();
    if (this->response->get().result_int() < 200)
    {
        this->start_parser();
        return true; // Interim response; the final one follows.
    }
    target_reply reply = Codec::decode_reply(this->response->release());
    this->charge->resize(reply.body.capacity());
    reply.memory = this->charge;
    if (reply.echoed_request_id &&
        *reply.echoed_request_id != this->call->query->id)
    {
        // Late response to an earlier request; the expected one may follow.
        this->must_close = true;
        this->start_parser();
        return true;
    }
    if (reply.success() && reply.signature.empty())
    {
        log_event(log_level::warning, "answer_unsigned",
                  {{"request", this->call->query->id.value},
                   {"replica", this->call->to.value},
                   {"status", reply.status},
                   {"bytes", reply.body.size()}});
        return false; // Not from the replica, or the rest of its head is lost.
    }
    this->check_attribution(reply);
    // A replica may answer before it has received the request: the rest would
    // arrive in front of the next one, which waits until the replica reads on.
    const std::size_t undelivered = this->undelivered_bytes();
    if (undelivered > 0)
    {
        this->log_early_answer(reply, undelivered);
    }
    this->must_close = this->must_close || !has_length || !keep ||
                       undelivered > 0 || this->buffer.size() > 0;
    if (reply.keep_alive_timeout)
    {
        this->replica_keep_alive = *reply.keep_alive_timeout;
    }
    const microseconds latency = now() - this->call->sent;
    this->complete({call_end::answered, std::move(reply), latency});
    if (this->must_close)
    {
        return false;
    }
    if (this->socket.is_open())
    {
        this->handlers.ready(this->shared_from_this());
    }
    return true;
}

// Marks a rejection that an earlier answer without an id may have been copied
// to: replicas may send an answer twice, the second time late.
template <target_codec Codec>
void target_connection<Codec>::check_attribution(target_reply& reply)
{
    if (reply.echoed_request_id)
    {
        return;
    }
    if (reply.not_executed && this->unidentified_answer)
    {
        reply.not_executed = false;
        reply.unattributed = true;
    }
    this->unidentified_answer = true;
}

// Returns how many bytes of the request had not reached the replica when it
// answered. Its answer acknowledges all that had.
template <target_codec Codec>
std::size_t target_connection<Codec>::undelivered_bytes()
{
    const std::size_t unsent = this->request_bytes.size() - this->sent_bytes;
    if (this->request_bytes.size() <= target_connection_limits::initial_window)
    {
        return unsent;
    }
    return unsent + unacknowledged_bytes(this->socket).value_or(0);
}

template <target_codec Codec>
void target_connection<Codec>::log_early_answer(const target_reply& reply,
                                                std::size_t undelivered) const
{
    log_event(log_level::info, "answer_before_request_sent",
              {{"request", this->call->query->id.value},
               {"replica", this->call->to.value},
               {"connection", this->use.local_port},
               {"connection_calls", this->use.calls},
               {"status", reply.status},
               {"undelivered_bytes", undelivered},
               {"request_bytes", this->request_bytes.size()}});
}

template <target_codec Codec>
void target_connection<Codec>::complete(target_result result)
{
    const auto ended = std::exchange(this->call, nullptr);
    result.connection = this->use;
    this->charge.reset();
    this->idle_or_connecting_since = now();
    this->handlers.result(ended, std::move(result));
}

template <target_codec Codec>
void target_connection<Codec>::start_parser()
{
    this->charge = std::make_shared<memory_charge>(
        this->memory, target_connection_limits::memory_allowance);
    this->response.emplace();
    this->response->body_limit(target_connection_limits::body_limit);
    this->response->header_limit(target_connection_limits::head_limit);
    this->response->eager(true);
}

template <target_codec Codec>
instant target_connection<Codec>::now()
{
    return to_instant(std::chrono::steady_clock::now());
}

} // namespace basilpath
