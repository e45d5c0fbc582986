#include "standin/leaf_server.hpp"

#include "standin/socket_cleanup.hpp"

#include <boost/asio/post.hpp>
#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <chrono>
#include <utility>

namespace basilpath::standin
{

namespace
{

constexpr std::size_t request_limit_bytes = 1U << 20U;
constexpr std::chrono::hours idle_limit{1};
const std::string connection_key = "leaf_connection";

// Returns a function that sends the response of one call through Pistache.
leaf_call::sender make_sender(Pistache::Http::ResponseWriter writer)
{
    auto shared =
        std::make_shared<Pistache::Http::ResponseWriter>(std::move(writer));
    return [shared = std::move(shared)](int status, const std::string& body)
    {
        shared->send(static_cast<Pistache::Http::Code>(status), body,
                     MIME(Application, Json));
    };
}

} // namespace

struct leaf_server::implementation
{
    implementation(boost::asio::io_context& context, handlers callbacks)
        : context(context), callbacks(std::move(callbacks))
    {
    }

    boost::asio::io_context& context;
    handlers callbacks;
    std::string address;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

namespace
{

/// Posts the callbacks of Pistache to the io_context of the leaf.
template <class Implementation>
class leaf_handler final : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(leaf_handler)

    explicit leaf_handler(std::shared_ptr<Implementation> owner)
        : owner(std::move(owner))
    {
    }

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        peer->putData(ParserData,
                      std::make_shared<Pistache::Http::RequestParser>(
                          this->getMaxRequestSize()));
        auto connection =
            std::make_shared<leaf_connection>(peer->getID(), peer->fd());
        peer->putData(connection_key, connection);
        boost::asio::post(
            this->owner->context,
            [owner = this->owner, connection = std::move(connection)]
            { owner->callbacks.connected(connection); });
    }

    void
    onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        auto connection = connection_of(*peer);
        connection->detach_socket();
        boost::asio::post(
            this->owner->context,
            [owner = this->owner, connection = std::move(connection)]
            { owner->callbacks.disconnected(connection); });
    }

    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter writer) override
    {
        const auto peer = writer.getPeer();
        auto call = std::make_shared<leaf_call>(connection_of(*peer),
                                                make_sender(std::move(writer)));
        call->path = request.resource();
        call->body = request.body();
        boost::asio::post(this->owner->context,
                          [owner = this->owner, call = std::move(call)]
                          { owner->callbacks.called(call); });
    }

private:
    static std::shared_ptr<leaf_connection>
    connection_of(const Pistache::Tcp::Peer& peer)
    {
        return std::static_pointer_cast<leaf_connection>(
            peer.getData(connection_key));
    }

    std::shared_ptr<Implementation> owner;
};

} // namespace

leaf_server::leaf_server(boost::asio::io_context& context,
                         const std::string& address, handlers callbacks)
    : self(std::make_shared<implementation>(context, std::move(callbacks)))
{
    this->self->address = address;
    this->self->endpoint =
        std::make_unique<Pistache::Http::Endpoint>(Pistache::Address(address));
    auto settings = Pistache::Http::Endpoint::options()
                        .threads(1)
                        .maxRequestSize(request_limit_bytes)
                        .keepaliveTimeout(idle_limit)
                        .flags(Pistache::Tcp::Options::ReuseAddr |
                               Pistache::Tcp::Options::NoDelay);
    this->self->endpoint->init(settings);
    this->self->endpoint->setHandler(
        std::make_shared<leaf_handler<implementation>>(this->self));
    this->self->endpoint->serveThreaded();
}

leaf_server::~leaf_server()
{
    const std::string ip =
        this->self->address.substr(0, this->self->address.rfind(':'));
    const unsigned port = this->port();
    this->self->endpoint->shutdown();
    this->self->endpoint.reset();
    close_sockets_at(ip, port);
}

std::uint16_t leaf_server::port() const
{
    return static_cast<std::uint16_t>(this->self->endpoint->getPort());
}

} // namespace basilpath::standin
