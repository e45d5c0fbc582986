#include "connection/http_client.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilpath
{

namespace
{

constexpr std::size_t kept_handles = 256;
constexpr long kept_connections = 20'000;
constexpr int user_timeout_ms = 2'000;
constexpr std::size_t response_limit_bytes = 4U << 20U;

/// One socket that libcurl wants watched.
struct watched_socket
{
    boost::asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool reading = false;
    bool writing = false;
    bool removed = false;
};

/// One request in progress.
struct transfer
{
    CURL* easy = nullptr;
    http_request request;
    http_reply reply;
    std::function<void(http_reply)> done;
};

// Appends received bytes; refuses a response that is over the limit.
std::size_t take_bytes(char* data, std::size_t size, std::size_t count,
                       void* user)
{
    auto& body = static_cast<transfer*>(user)->reply.body;
    const std::size_t length = size * count;
    if (body.size() + length > response_limit_bytes)
    {
        return 0;
    }
    body.append(data, length);
    return length;
}

// Makes a connection whose peer has gone silent fail instead of hanging.
int prepare_socket(void*, curl_socket_t socket, curlsocktype)
{
    const int limit = user_timeout_ms;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    return CURL_SOCKOPT_OK;
}

// Tells how far a finished transfer got.
http_outcome judge(CURL* easy, CURLcode result)
{
    if (result == CURLE_OK)
    {
        return http_outcome::answered;
    }
    curl_off_t connect_time = 0;
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &connect_time);
    if (result == CURLE_COULDNT_CONNECT || connect_time == 0)
    {
        return http_outcome::connect_failed;
    }
    return result == CURLE_OPERATION_TIMEDOUT ? http_outcome::timed_out
                                              : http_outcome::dropped;
}

} // namespace

struct http_client::implementation
    : std::enable_shared_from_this<http_client::implementation>
{
    explicit implementation(boost::asio::io_context& context)
        : context(context), timer(context), multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, on_timer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kept_connections);
        this->headers =
            curl_slist_append(this->headers, "Content-Type: application/json");
        this->headers = curl_slist_append(this->headers, "Expect:");
        this->headers =
            curl_slist_append(this->headers, "Connection: Keep-Alive");
    }

    ~implementation()
    {
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, nullptr);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, nullptr);
        for (auto& [easy, one] : this->transfers)
        {
            curl_multi_remove_handle(this->multi, easy);
            curl_easy_cleanup(easy);
        }
        for (auto& [fd, socket] : this->sockets)
        {
            socket->descriptor.release();
        }
        for (CURL* easy : this->idle)
        {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(this->multi);
        curl_slist_free_all(this->headers);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    // Starts a transfer; its `done` runs when it has ended.
    void start(std::shared_ptr<transfer> one)
    {
        if (this->idle.empty())
        {
            one->easy = curl_easy_init();
        }
        else
        {
            one->easy = this->idle.back();
            this->idle.pop_back();
        }
        this->configure(*one);
        CURL* const easy = one->easy;
        this->transfers.emplace(easy, std::move(one));
        curl_multi_add_handle(this->multi, easy);
    }

    // Sets all options of one transfer on its handle.
    void configure(transfer& one) const
    {
        CURL* const easy = one.easy;
        const http_request& request = one.request;
        const auto timeout_ms =
            std::chrono::ceil<std::chrono::milliseconds>(request.timeout);
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, this->headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_bytes);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &one);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, prepare_socket);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         std::max(1L, static_cast<long>(timeout_ms.count())));
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                         request.fresh_connection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
                         request.fresh_connection ? 1L : 0L);
        curl_easy_setopt(
            easy, CURLOPT_MAXLIFETIME_CONN,
            static_cast<long>(request.connection_age_limit.count()));
        if (request.method == "GET")
        {
            curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
            return;
        }
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                         request.method == "POST" ? nullptr
                                                  : request.method.c_str());
    }

    // Hands libcurl an event, then finishes every transfer that has ended.
    void act(curl_socket_t fd, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, fd, events, &running);
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left))
        {
            if (message->msg == CURLMSG_DONE)
            {
                this->finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL* easy, CURLcode result)
    {
        const auto found = this->transfers.find(easy);
        if (found == this->transfers.end())
        {
            return;
        }
        const std::shared_ptr<transfer> one = std::move(found->second);
        this->transfers.erase(found);
        one->reply.outcome = judge(easy, result);
        one->reply.error = result == CURLE_OK ? "" : curl_easy_strerror(result);
        long status = 0;
        long connects = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
        one->reply.status = static_cast<int>(status);
        one->reply.new_connection = connects > 0;
        curl_multi_remove_handle(this->multi, easy);
        this->keep(easy);
        one->done(std::move(one->reply));
    }

    // Keeps a handle for a later transfer, up to a bound.
    void keep(CURL* easy)
    {
        if (this->idle.size() >= kept_handles)
        {
            curl_easy_cleanup(easy);
            return;
        }
        curl_easy_reset(easy);
        this->idle.push_back(easy);
    }

    // Waits for the events that libcurl wants of a socket.
    void arm(const std::shared_ptr<watched_socket>& socket)
    {
        using descriptor = boost::asio::posix::stream_descriptor;
        if ((socket->wanted & CURL_POLL_IN) != 0 && !socket->reading)
        {
            socket->reading = true;
            this->wait(socket, descriptor::wait_read, CURL_CSELECT_IN);
        }
        if ((socket->wanted & CURL_POLL_OUT) != 0 && !socket->writing)
        {
            socket->writing = true;
            this->wait(socket, descriptor::wait_write, CURL_CSELECT_OUT);
        }
    }

    void wait(const std::shared_ptr<watched_socket>& socket,
              boost::asio::posix::descriptor_base::wait_type kind, int event)
    {
        const auto ready = [weak = this->weak_from_this(), socket,
                            event](const boost::system::error_code& failed)
        {
            const auto alive = weak.lock();
            if (failed || socket->removed || !alive)
            {
                return;
            }
            (event == CURL_CSELECT_IN ? socket->reading : socket->writing) =
                false;
            const int wanted =
                event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
            if ((socket->wanted & wanted) == 0)
            {
                return;
            }
            alive->act(socket->descriptor.native_handle(), event);
            if (!socket->removed)
            {
                alive->arm(socket);
            }
        };
        socket->descriptor.async_wait(kind, ready);
    }

    static int on_socket(CURL*, curl_socket_t fd, int what, void* user, void*)
    {
        auto& owner = *static_cast<implementation*>(user);
        const auto found = owner.sockets.find(fd);
        if (what == CURL_POLL_REMOVE)
        {
            if (found != owner.sockets.end())
            {
                found->second->removed = true;
                found->second->descriptor.release();
                owner.sockets.erase(found);
            }
            return 0;
        }
        std::shared_ptr<watched_socket> socket;
        if (found == owner.sockets.end())
        {
            socket = std::make_shared<watched_socket>(watched_socket{
                boost::asio::posix::stream_descriptor(owner.context, fd)});
            owner.sockets.emplace(fd, socket);
        }
        else
        {
            socket = found->second;
        }
        socket->wanted = what;
        owner.arm(socket);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* user)
    {
        auto& owner = *static_cast<implementation*>(user);
        owner.timer.cancel();
        if (timeout_ms < 0)
        {
            return 0;
        }
        owner.timer.expires_after(std::chrono::milliseconds(timeout_ms));
        owner.timer.async_wait(
            [weak = owner.weak_from_this()](
                const boost::system::error_code& failed)
            {
                const auto alive = weak.lock();
                if (!failed && alive)
                {
                    alive->act(CURL_SOCKET_TIMEOUT, 0);
                }
            });
        return 0;
    }

    boost::asio::io_context& context;
    boost::asio::steady_timer timer;
    CURLM* multi;
    std::uint32_t connection_limit = 0;
    curl_slist* headers = nullptr;
    std::vector<CURL*> idle;
    std::unordered_map<CURL*, std::shared_ptr<transfer>> transfers;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets;
};

http_client::http_client(boost::asio::io_context& context)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
    this->self = std::make_shared<implementation>(context);
}

http_client::~http_client() = default;

void http_client::limit_connections(std::uint32_t most)
{
    if (std::exchange(this->self->connection_limit, most) != most)
    {
        curl_multi_setopt(this->self->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(most));
    }
}

boost::asio::awaitable<http_reply> http_client::send(http_request request)
{
    auto initiate = [self = this->self, &request](auto handler)
    {
        using handler_type = decltype(handler);
        auto shared = std::make_shared<handler_type>(std::move(handler));
        auto one = std::make_shared<transfer>();
        one->request = std::move(request);
        one->done = [shared, self](http_reply reply)
        {
            boost::asio::post(self->context,
                              [shared, reply = std::move(reply)]() mutable
                              { std::move (*shared)(std::move(reply)); });
        };
        self->start(std::move(one));
    };
    co_return co_await boost::asio::async_initiate<
        const boost::asio::use_awaitable_t<>&, void(http_reply)>(
        std::move(initiate), boost::asio::use_awaitable);
}

} // namespace basilpath
