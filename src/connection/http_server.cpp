#include "connection/http_server.hpp"

#include "process/log.hpp"

#include <boost/asio/post.hpp>
#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <atomic>
#include <mutex>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace basilpath
{

namespace
{

// Room that Pistache gets beyond the limit for headers, so that a body over
// the limit is answered here: Pistache's own refusal leaves the rest of the
// body to be read as the next request.
constexpr std::size_t parser_allowance_bytes = 1U << 20U;

/// Counters that outlive the server until its last exchange has ended.
struct server_state
{
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> closing{false};
};

// Sends one answer through Pistache and settles the counters.
void send_answer(server_state& state, Pistache::Http::ResponseWriter& writer,
                 const http_answer& answer)
{
    for (const http_header& header : answer.headers)
    {
        writer.headers().addRaw(
            Pistache::Http::Header::Raw(header.name, header.value));
    }
    // Pistache asks callers to close unless they asked to keep the connection,
    // which HTTP/1.1 callers need not do.
    writer.headers().remove<Pistache::Http::Header::Connection>();
    writer.headers().add<Pistache::Http::Header::Connection>(
        state.closing ? Pistache::Http::ConnectionControl::Close
                      : Pistache::Http::ConnectionControl::KeepAlive);
    try
    {
        writer.send(
            static_cast<Pistache::Http::Code>(answer.status), answer.body,
            Pistache::Http::Mime::MediaType::fromString(answer.content_type));
    }
    catch (const std::exception& gone)
    {
        log_event(log_level::debug, "caller_gone", {{"reason", gone.what()}});
    }
    --state.in_flight;
}

// Makes an exchange whose answer goes through a Pistache writer.
std::shared_ptr<http_exchange>
make_exchange(std::shared_ptr<server_state> state,
              Pistache::Http::ResponseWriter writer)
{
    ++state->in_flight;
    auto shared =
        std::make_shared<Pistache::Http::ResponseWriter>(std::move(writer));
    return std::make_shared<http_exchange>(
        [state = std::move(state),
         shared = std::move(shared)](const http_answer& answer)
        { send_answer(*state, *shared, answer); });
}

} // namespace

struct http_server::implementation
{
    implementation(boost::asio::io_context& context,
                   const http_server_options& options, handler serve)
        : context(context), serve(std::move(serve)),
          request_limit_bytes(options.request_limit_bytes),
          too_large(options.too_large), state(std::make_shared<server_state>())
    {
    }

    // Remembers which exchange a caller's connection waits for.
    void remember(std::size_t peer, const std::shared_ptr<http_exchange>& one)
    {
        const std::lock_guard lock(this->mutex);
        this->waiting[peer] = one;
    }

    // Cancels the exchange of a connection that has ended.
    void forget(std::size_t peer)
    {
        std::shared_ptr<http_exchange> one;
        {
            const std::lock_guard lock(this->mutex);
            const auto found = this->waiting.find(peer);
            if (found == this->waiting.end())
            {
                return;
            }
            one = found->second.lock();
            this->waiting.erase(found);
        }
        if (one)
        {
            boost::asio::post(this->context, [one] { one->cancel(); });
        }
    }

    boost::asio::io_context& context;
    handler serve;
    std::size_t request_limit_bytes;
    http_answer too_large;
    std::shared_ptr<server_state> state;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::mutex mutex;
    std::unordered_map<std::size_t, std::weak_ptr<http_exchange>> waiting;
};

namespace
{

/// Turns Pistache's calls into exchanges; one copy per Pistache thread.
template <class Implementation>
class pistache_handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(pistache_handler)

    explicit pistache_handler(Implementation* owner) : owner(owner) {}

    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter writer) override
    {
        const auto peer = writer.getPeer();
        auto one = make_exchange(this->owner->state, std::move(writer));
        one->method = Pistache::Http::methodString(request.method());
        one->path = request.resource();
        one->query = request.query().as_str();
        if (!one->query.empty() && one->query.front() == '?')
        {
            one->query.erase(0, 1);
        }
        one->body = request.body();
        if (peer)
        {
            one->peer = peer->address().host();
            this->owner->remember(peer->getID(), one);
        }
        if (one->body.size() > this->owner->request_limit_bytes)
        {
            one->reply(this->owner->too_large);
            return;
        }
        boost::asio::post(this->owner->context,
                          [owner = this->owner, one = std::move(one)]
                          { owner->serve(one); });
    }

    void
    onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        this->owner->forget(peer->getID());
    }

private:
    Implementation* owner;
};

} // namespace

http_server::http_server(boost::asio::io_context& context,
                         const http_server_options& options, handler serve)
    : self(std::make_shared<implementation>(context, options, std::move(serve)))
{
    this->self->endpoint = std::make_unique<Pistache::Http::Endpoint>(
        Pistache::Address(options.address));
    auto settings = Pistache::Http::Endpoint::options()
                        .threads(options.threads)
                        .maxRequestSize(options.request_limit_bytes +
                                        parser_allowance_bytes)
                        .flags(Pistache::Tcp::Options::ReuseAddr |
                               Pistache::Tcp::Options::NoDelay);
    this->self->endpoint->init(settings);
    this->self->endpoint->setHandler(
        std::make_shared<pistache_handler<implementation>>(this->self.get()));
    this->self->endpoint->serveThreaded();
}

http_server::~http_server()
{
    this->self->endpoint->shutdown();
}

std::uint16_t http_server::port() const
{
    return static_cast<std::uint16_t>(this->self->endpoint->getPort());
}

std::size_t http_server::in_flight() const
{
    return this->self->state->in_flight;
}

void http_server::close_connections()
{
    this->self->state->closing = true;
}

} // namespace basilpath
