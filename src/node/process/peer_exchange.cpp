#include "node/process/peer_exchange.hpp"

#include "node/connection/endpoint.hpp"
#include "node/connection/http_client.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

// Time between two rounds of probes.
constexpr auto probe_interval = 200ms;

// The same while this host has no view yet and cannot serve.
constexpr auto first_probe_interval = 40ms;

// Seeds that are not known to live are probed in each of the first rounds, and
// then in one round of these many, so that cut-off parts find each other.
constexpr std::uint64_t first_rounds = 25;
constexpr std::uint64_t seed_rounds = 10;

// Members that are told at once of a change; each of them tells as many.
constexpr std::size_t push_fanout = 7;

// News of others in one datagram.
constexpr std::size_t news_limit = 6;

// Changes up to this size travel in the datagram, others are fetched.
constexpr std::size_t update_limit = 900;

// Strikes of one datagram, the latest, and how long each is told: some rounds
// of probes, after which all hosts have heard it.
constexpr std::size_t strike_limit = 8;
constexpr microseconds strike_time = 3s;

// Time that another host has for sending its view.
constexpr milliseconds fetch_patience{1'000};

// Time in which a host of the same failure domain is likely to offer what one
// of another domain has: a round of probes at the start, and some.
constexpr auto near_patience = 100ms;

constexpr std::string_view view_path = "/view?after=";

instant now()
{
    return to_instant(std::chrono::steady_clock::now());
}

asio::ip::udp::endpoint udp_endpoint(const peer_address& address)
{
    const auto endpoint = to_endpoint(address.value);
    if (!endpoint)
    {
        throw std::runtime_error("not an address: " + address.value);
    }
    return {endpoint->address(), endpoint->port()};
}

} // namespace

peer_exchange::peer_exchange(asio::io_context& context, real_runtime& run,
                             member_list& members, store_view& view,
                             crash_detector& crashes, traffic_meter& traffic,
                             std::vector<peer_address> seeds)
    : context(context), run(run), members(members), view(view),
      crashes(crashes), traffic(traffic), seeds(std::move(seeds)),
      socket(context, udp_endpoint(members.own().address)),
      server(context, members.own().address.value,
             [this](std::shared_ptr<http_request> request,
                    const std::shared_ptr<caller_presence>&)
             { return this->answer_view(std::move(request)); })
{
    this->socket.non_blocking(true);
    this->set_seeds(this->seeds);
}

void peer_exchange::start()
{
    this->server.start();
    this->view.on_move([this](store_revision before)
                       { this->tell_some(before); });
    asio::co_spawn(this->context, this->receive(), asio::detached);
    asio::co_spawn(this->context, this->probe(), asio::detached);
}

void peer_exchange::set_seeds(std::vector<peer_address> wanted)
{
    this->seeds = std::move(wanted);
    std::erase(this->seeds, this->members.own().address);
}

void peer_exchange::push()
{
    this->tell_some(this->view.view().revision());
}

asio::awaitable<void> peer_exchange::receive()
{
    while (true)
    {
        asio::ip::udp::endpoint from;
        const auto space = asio::buffer(this->received);
        const auto [error, count] = co_await this->socket.async_receive_from(
            space, from, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (error)
        {
            // The port of an earlier datagram was closed; that peer will be
            // missed by its probes.
            continue;
        }
        const auto datagram = decode_datagram(
            std::string_view(this->received.data(), count), now());
        if (!datagram)
        {
            log_event(log_level::warning, "datagram_unreadable",
                      {{"from", from.address().to_string()}, {"bytes", count}});
            continue;
        }
        this->take(*datagram);
    }
}

asio::awaitable<void> peer_exchange::probe()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        const store_revision known = this->view.view().revision();
        for (const peer_address& to : this->members.probe(now()))
        {
            this->send(to, datagram_kind::probe, known);
        }
        if (this->rounds < first_rounds || this->rounds % seed_rounds == 0)
        {
            for (const peer_address& seed : this->strangers())
            {
                this->send(seed, datagram_kind::probe, known);
            }
        }
        ++this->rounds;
        this->log_changes();
        const bool starting = this->view.view().revision() == 0;
        timer.expires_after(starting ? first_probe_interval : probe_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Fetches what the view of another host has more.
asio::awaitable<void> peer_exchange::fetch(peer_address from)
{
    this->fetching = true;
    node_http_client client(this->context.get_executor(),
                            http_address(from.value));
    std::string target =
        fmt::format("{}{}", view_path, this->view.view().revision());
    const auto response =
        co_await client.get(std::move(target), fetch_patience);
    client.close();
    this->fetching = false;
    const auto update =
        response ? decode_update(response->body()) : std::nullopt;
    if (!update)
    {
        log_event(log_level::info, "view_fetch_failed",
                  {{"from", from.value}, {"reason", client.last_error()}});
        co_return;
    }
    this->count_far(from, traffic_purpose::views, response->body().size());
    // How old the other view is comes with its next datagram.
    this->view.apply(*update, std::nullopt);
}

// Fetches from a host of another failure domain, unless one of this domain has
// brought the same in the meantime.
asio::awaitable<void> peer_exchange::fetch_later(peer_address from,
                                                 store_revision offered)
{
    if (std::exchange(this->fetch_planned, true))
    {
        co_return;
    }
    asio::steady_timer timer(this->context);
    timer.expires_after(near_patience);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->fetch_planned = false;
    if (this->view.view().revision() < offered && !this->fetching)
    {
        co_await this->fetch(std::move(from));
    }
}

asio::awaitable<http_response>
peer_exchange::answer_view(std::shared_ptr<http_request> request)
{
    const std::string_view target(request->target().data(),
                                  request->target().size());
    store_revision after = 0;
    if (target.starts_with(view_path))
    {
        const std::string_view figure = target.substr(view_path.size());
        std::from_chars(figure.data(), figure.data() + figure.size(), after);
    }
    http_response response(boost::beast::http::status::ok, 11);
    response.body() = encode_update(this->view.view().since(after));
    co_return response;
}

void peer_exchange::take(const peer_datagram& datagram)
{
    const instant time = now();
    this->members.merge(datagram.from, time);
    this->members.note_alive(datagram.from.address, time);
    for (const member& one : datagram.gossip)
    {
        this->members.merge(one, time);
    }
    for (const suspected_crash& one : datagram.suspected_crashes)
    {
        if (this->crashes.merge(one))
        {
            this->suspected_crashes.push_back(one);
        }
    }
    this->log_changes();
    this->take_view(datagram, time);
    if (datagram.kind == datagram_kind::probe)
    {
        this->send(datagram.from.address, datagram_kind::ack,
                   datagram.revision);
    }
}

void peer_exchange::take_view(const peer_datagram& datagram, instant time)
{
    const milliseconds age = datagram.age.value_or(milliseconds::max());
    const bool dated = datagram.age.has_value();
    if (datagram.update && dated)
    {
        this->view.apply(*datagram.update, time - age);
    }
    const store_revision held = this->view.view().revision();
    if (datagram.revision == held && dated && held > 0)
    {
        this->view.confirm(time - age);
    }
    else if (datagram.revision > held && !this->fetching)
    {
        const bool far = this->members.avoidable(datagram.from.address);
        asio::co_spawn(
            this->context,
            far ? this->fetch_later(datagram.from.address, datagram.revision)
                : this->fetch(datagram.from.address),
            asio::detached);
    }
}

// Sends one datagram, with the changes that the other host lacks when they are
// few. A datagram that cannot be sent now is lost; the next comes soon.
void peer_exchange::send(const peer_address& to, datagram_kind kind,
                         store_revision known)
{
    peer_datagram datagram;
    datagram.kind = kind;
    datagram.from = this->members.own();
    datagram.revision = this->view.view().revision();
    datagram.age = this->view.age(now());
    datagram.gossip = this->members.gossip(news_limit);
    if (known > 0 && known < datagram.revision)
    {
        item_update update = this->view.view().since(known);
        if (update.after > 0 && encode_update(update).size() < update_limit)
        {
            datagram.update = std::move(update);
        }
    }
    const instant time = now();
    std::erase_if(this->suspected_crashes, [time](const suspected_crash& one)
                  { return time - one.at > strike_time; });
    const std::size_t told =
        std::min(this->suspected_crashes.size(), strike_limit);
    datagram.suspected_crashes.assign(this->suspected_crashes.end() -
                                          static_cast<std::ptrdiff_t>(told),
                                      this->suspected_crashes.end());
    std::string bytes = encode_datagram(datagram, time);
    if (bytes.size() > datagram_limit)
    {
        datagram.gossip.clear();
        bytes = encode_datagram(datagram, time);
    }
    boost::system::error_code lost;
    const auto endpoint = to_endpoint(to.value);
    if (!endpoint)
    {
        return;
    }
    this->socket.send_to(
        asio::buffer(bytes),
        asio::ip::udp::endpoint(endpoint->address(), endpoint->port()), 0,
        lost);
    ++this->sent_count;
    this->count_far(to, traffic_purpose::membership, bytes.size());
}

// Counts bytes to or from a host of another failure domain.
void peer_exchange::count_far(const peer_address& other,
                              traffic_purpose purpose, std::size_t bytes)
{
    const member* const known = this->members.find(other);
    if (known && known->domain != this->members.own().domain)
    {
        this->traffic.add(purpose, bytes);
    }
}

void peer_exchange::tell(const suspected_crash& strike)
{
    this->suspected_crashes.push_back(strike);
    this->push();
}

void peer_exchange::tell_some(store_revision known)
{
    for (const peer_address& to :
         this->members.listeners(push_fanout, this->run.random()))
    {
        this->send(to, datagram_kind::gossip, known);
    }
}

void peer_exchange::log_changes()
{
    for (const member& one : this->members.take_changes())
    {
        constexpr std::array<std::string_view, 3> names = {"alive", "leaving",
                                                           "dead"};
        log_event(log_level::info, "member",
                  {{"member", one.address.value},
                   {"state", names.at(static_cast<std::size_t>(one.state))},
                   {"counter", one.counter}});
    }
}

// Seeds that are not known to live.
std::vector<peer_address> peer_exchange::strangers() const
{
    const std::vector<peer_address> known = this->members.peers();
    std::vector<peer_address> result;
    std::ranges::copy_if(
        this->seeds, std::back_inserter(result),
        [&known](const peer_address& seed)
        { return std::ranges::find(known, seed) == known.end(); });
    return result;
}

} // namespace basilpath
