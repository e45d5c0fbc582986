#include "node/connection/socket_options.hpp"
#include "node/connection/target_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilpath
{

namespace target_connection_bounds
{

/// One read; an answer of the usual size comes in one.
inline constexpr std::size_t read_bytes = 8192;

/// Largest body and head that are taken from a replica: a body is some 10 kB in
/// the deployments. Fifty replicas that send without end at the same time stay
/// within half of the 260 MB of a host.
inline constexpr std::uint64_t body_limit = 2'000'000;
inline constexpr std::uint32_t head_limit = 16'384;

/// How long an idle connection is kept when the replica does not say.
inline constexpr milliseconds default_idle{4'000};

} // namespace target_connection_bounds

template <target_codec Codec>
target_connection<Codec>::target_connection(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& address, callbacks told)
    : socket(executor), address(address), told(std::move(told)), changed(now()),
      kept(target_connection_bounds::default_idle)
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
        set_low_delay(this->socket);
        this->made = true;
        this->changed = now();
        this->told.ready(self);
        co_await this->read();
    }
    this->close();
    if (this->call)
    {
        this->complete({call_end::broken, {}, now() - this->call->sent});
    }
    this->told.closed(self, this->made);
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
    this->outgoing = Codec::encode_call(*this->call, timeout);
    this->told.bytes_transferred(this->outgoing.size());
    const auto self = this->shared_from_this();
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->outgoing),
        [self](const boost::system::error_code& error, std::size_t)
        {
            if (error)
            {
                self->close();
            }
        });
}

template <target_codec Codec>
void target_connection<Codec>::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

// Reads all the time, so that an end or stray bytes are seen at once.
template <target_codec Codec>
boost::asio::awaitable<void> target_connection<Codec>::read()
{
    while (this->socket.is_open())
    {
        const auto space =
            this->buffer.prepare(target_connection_bounds::read_bytes);
        const auto [error, count] = co_await this->socket.async_read_some(
            space, boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error)
        {
            if (error == boost::asio::error::eof)
            {
                this->parse_end();
            }
            co_return;
        }
        this->buffer.commit(count);
        this->told.bytes_transferred(count);
        if (!this->parse())
        {
            co_return;
        }
    }
}

// Takes what has been read. False when the connection is of no further use.
template <target_codec Codec>
bool target_connection<Codec>::parse()
{
    while (this->buffer.size() > 0)
    {
        if (!this->call)
        {
            return false; // Bytes that belong to no request.
        }
        boost::system::error_code failed;
        const auto used = this->response->put(this->buffer.data(), failed);
        this->buffer.consume(used);
        if (this->response->is_done())
        {
            if (!this->finish_response())
            {
                return false;
            }
            continue;
        }
        if (failed == boost::beast::http::error::need_more)
        {
            return true;
        }
        if (failed)
        {
            return false;
        }
    }
    return true;
}

// The replica ended the connection: an answer without a length is whole.
template <target_codec Codec>
void target_connection<Codec>::parse_end()
{
    if (!this->call || !this->response->got_some() ||
        !this->response->is_header_done())
    {
        return;
    }
    boost::system::error_code failed;
    this->response->put_eof(failed);
    if (!failed && this->response->is_done())
    {
        this->spoiled = true;
        this->finish_response();
    }
}

// Hands a whole answer over. False when the connection must end.
template <target_codec Codec>
bool target_connection<Codec>::finish_response()
{
    const bool framed = !this->response->need_eof();
    const bool keep = this->response->keep_alive();
    if (this->response->get().result_int() < 200)
    {
        this->start_parser();
        return true; // An interim answer; the final one follows.
    }
    target_reply reply = Codec::decode_reply(this->response->release());
    if (reply.echoed_request_id &&
        *reply.echoed_request_id != this->call->query->id)
    {
        // An answer to an earlier request; ours may still come.
        this->spoiled = true;
        this->start_parser();
        return true;
    }
    this->spoiled = this->spoiled || !framed || !keep;
    if (reply.keep_alive_timeout)
    {
        this->kept = *reply.keep_alive_timeout;
    }
    const microseconds latency = now() - this->call->sent;
    const bool reusable = !this->spoiled && this->buffer.size() == 0;
    this->complete({call_end::answered, std::move(reply), latency});
    if (reusable && this->socket.is_open())
    {
        this->told.ready(this->shared_from_this());
    }
    return reusable;
}

template <target_codec Codec>
void target_connection<Codec>::complete(target_result result)
{
    const auto ended = std::exchange(this->call, nullptr);
    this->changed = now();
    this->told.result(ended, std::move(result));
}

template <target_codec Codec>
void target_connection<Codec>::start_parser()
{
    this->response.emplace();
    this->response->body_limit(target_connection_bounds::body_limit);
    this->response->header_limit(target_connection_bounds::head_limit);
    this->response->eager(true);
}

template <target_codec Codec>
instant target_connection<Codec>::now()
{
    return to_instant(std::chrono::steady_clock::now());
}

} // namespace basilpath
