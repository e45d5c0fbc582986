#include "connection/peer_hub.hpp"

#include "connection/delay_estimate.hpp"
#include "connection/peer_link.hpp"
#include "process/log.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::size_t message_limit_bytes = 8U << 20U;

} // namespace

struct peer_hub::implementation
    : std::enable_shared_from_this<peer_hub::implementation>
{
    implementation(boost::asio::io_context& context, incarnation own,
                   handler receive, peer_hub_options options)
        : context(context), own(own), receive(std::move(receive)),
          options(options)
    {
    }

    // Opens the listening socket and starts to receive.
    void listen(const peer_address& wanted)
    {
        nng_listener listener{};
        const std::string url = "tcp://" + wanted.value;
        int failed = nng_pull0_open(&this->pull);
        failed = failed != 0
                     ? failed
                     : nng_listener_create(&listener, this->pull, url.c_str());
        failed = failed != 0
                     ? failed
                     : nng_listener_set_size(listener, NNG_OPT_RECVMAXSZ,
                                             message_limit_bytes);
        failed = failed != 0 ? failed : nng_listener_start(listener, 0);
        failed =
            failed != 0 ? failed : nng_aio_alloc(&this->aio, on_received, this);
        if (failed != 0)
        {
            throw std::runtime_error(fmt::format(
                "cannot listen at {}: {}", wanted.value, nng_strerror(failed)));
        }
        int port = 0;
        nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
        const auto colon = wanted.value.rfind(':');
        this->address = peer_address(
            fmt::format("{}:{}", wanted.value.substr(0, colon), port));
        nng_recv_aio(this->pull, this->aio);
    }

    // Runs on a thread of nng: hands the message over and waits for the next.
    static void on_received(void* user)
    {
        auto& owner = *static_cast<implementation*>(user);
        if (nng_aio_result(owner.aio) != 0)
        {
            return;
        }
        const std::shared_ptr<nng_msg> message(nng_aio_get_msg(owner.aio),
                                               nng_msg_free);
        boost::asio::post(owner.context,
                          [weak = owner.weak_from_this(), message]
                          {
                              if (const auto alive = weak.lock())
                              {
                                  alive->deliver(*message);
                              }
                          });
        nng_recv_aio(owner.pull, owner.aio);
    }

    // Parses one transport message and hands on what it carries.
    void deliver(nng_msg& message)
    {
        wire::Batch batch;
        const auto length = nng_msg_len(&message);
        ++this->counters.messages_received;
        this->counters.bytes_received += length;
        if (!batch.ParseFromArray(nng_msg_body(&message),
                                  static_cast<int>(length)) ||
            batch.from().empty())
        {
            ++this->counters.dropped;
            log_event(log_level::warning, "peer_message_malformed",
                      {{"bytes", length}});
            return;
        }
        const peer_address from(batch.from());
        this->link(from).heard();
        const microseconds delay =
            this->delays[from].observe(microseconds(batch.sent_us()));
        for (wire::Envelope& one : *batch.mutable_envelopes())
        {
            one.set_delay_us(one.delay_us() +
                             static_cast<std::uint64_t>(delay.count()));
            this->handle(from, incarnation(batch.incarnation()),
                         std::move(one));
        }
    }

    // Answers heartbeats; everything else goes to the owner.
    void handle(const peer_address& from, incarnation sender,
                wire::Envelope message)
    {
        if (!message.has_heartbeat())
        {
            this->receive(from, sender, std::move(message));
            return;
        }
        if (!message.heartbeat().answer())
        {
            wire::Envelope answer;
            answer.mutable_heartbeat()->set_answer(true);
            this->link(from).send(std::move(answer));
        }
    }

    // Returns the link to a peer and makes it on first use.
    peer_link& link(const peer_address& to)
    {
        const auto found = this->links.find(to);
        if (found != this->links.end())
        {
            return *found->second;
        }
        this->close_unused();
        const auto created = std::make_shared<peer_link>(
            this->context, to, this->address, this->own, this->counters,
            this->options);
        this->links.emplace(to, created);
        created->start();
        return *created;
    }

    // Closes the links that have not been used for long, so that their number
    // does not grow with all peers that were ever spoken to.
    void close_unused()
    {
        std::erase_if(this->links,
                      [](const auto& entry)
                      {
                          const bool close = entry.second->closable();
                          if (close)
                          {
                              entry.second->stop();
                          }
                          return close;
                      });
    }

    boost::asio::io_context& context;
    incarnation own;
    handler receive;
    peer_hub_options options;
    peer_address address;
    nng_socket pull = NNG_SOCKET_INITIALIZER;
    nng_aio* aio = nullptr;
    peer_traffic counters;
    std::unordered_map<peer_address, std::shared_ptr<peer_link>> links;
    std::unordered_map<peer_address, delay_estimate> delays;
};

peer_hub::peer_hub(boost::asio::io_context& context,
                   const peer_address& address, incarnation own,
                   handler receive, peer_hub_options options)
    : self(std::make_shared<implementation>(context, own, std::move(receive),
                                            options))
{
    this->self->listen(address);
}

peer_hub::~peer_hub()
{
    for (auto& [address, link] : this->self->links)
    {
        link->stop();
    }
    nng_close(this->self->pull);
    nng_aio_stop(this->self->aio);
    nng_aio_free(this->self->aio);
}

const peer_address& peer_hub::address() const
{
    return this->self->address;
}

bool peer_hub::send(const peer_address& to, wire::Envelope message)
{
    return this->self->link(to).send(std::move(message));
}

bool peer_hub::responsive(const peer_address& to) const
{
    const auto found = this->self->links.find(to);
    return found == this->self->links.end() || found->second->responsive();
}

const peer_traffic& peer_hub::traffic() const
{
    return this->self->counters;
}

std::size_t peer_hub::links() const
{
    return this->self->links.size();
}

std::size_t peer_hub::queued() const
{
    std::size_t total = 0;
    for (const auto& [address, link] : this->self->links)
    {
        total += link->queued();
    }
    return total;
}

} // namespace basilpath
