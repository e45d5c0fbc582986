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
#include <ranges>
#include <stdexcept>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
using boost::beast::http::status;
using namespace std::chrono_literals;

namespace
{

constexpr auto probe_interval = 200ms;

// Probe interval while this host has no view yet and cannot serve.
constexpr auto first_probe_interval = 40ms;

// Seeds that are not live members are probed in each of the first rounds, then
// in one of every few rounds, so that partitioned groups rejoin.
constexpr std::uint64_t initial_seed_rounds = 25;
constexpr std::uint64_t rounds_per_seed_probe = 10;

// Members that a change is pushed to at once; each of them pushes it to as
// many.
constexpr std::size_t push_fanout = 7;

// Hosts that are told first which one has lost the store: several of those that
// take over from it, as it may not be the only one.
constexpr std::size_t reader_push_count = 8;

// Most descriptions of other members in one datagram.
constexpr std::size_t gossip_limit = 6;

// Most limits of replicas in one datagram.
constexpr std::size_t limit_news_limit = 16;

// Store changes up to this encoded size in bytes are sent in the datagram,
// larger ones are fetched.
constexpr std::size_t update_limit = 900;

// Replica crashes in one datagram, the latest ones, and how long each is sent:
// several probe rounds, after which all hosts have received it.
constexpr std::size_t suspected_crash_limit = 8;
constexpr microseconds suspected_crash_lifetime = 3s;

// Most requests in quarantine that one datagram names.
constexpr std::size_t quarantine_limit = 8;

// Time until a fetched view must begin to arrive.
constexpr milliseconds fetch_timeout{1'000};

// How often a host without a usable offer checks for one.
constexpr microseconds offer_check_interval = 20ms;

// A fetch that takes longer may be from a host that has become slow.
constexpr microseconds slow_fetch_time = 1s;

// Shortest time after which a host is asked again that has others to serve.
constexpr microseconds busy_delay = 200ms;

// A later view that this host has lacked for longer is logged.
constexpr microseconds reported_view_lag = 500ms;

// A successful fetch that took longer is logged.
constexpr microseconds reported_fetch_time = 100ms;

// Time within which a host of the same failure domain is likely to offer the
// changes that one of another domain has: a probe round at the start, and a
// margin.
constexpr auto local_offer_delay = 100ms;

constexpr std::string_view view_path = "/view?after=";
constexpr std::string_view era_parameter = "&era=";

// Hosts of earlier releases do not ask for packed values and cannot read them.
constexpr std::string_view packed_parameter = "&packed=1";

instant now()
{
    return to_instant(std::chrono::steady_clock::now());
}

asio::ip::udp::endpoint udp_endpoint(const peer_address& address)
{
    const auto endpoint = to_endpoint(address.value);
    if (!endpoint)
    {
        throw std::runtime_error("invalid address: " + address.value);
    }
    return {endpoint->address(), endpoint->port()};
}

} // namespace

peer_exchange::peer_exchange(asio::io_context& context, real_runtime& run,
                             member_list& members, store_view& view,
                             crash_detector& crashes, named_limits& limits,
                             traffic_meter& traffic,
                             std::vector<peer_address> seeds)
    : context(context), run(run), members(members), view(view),
      crashes(crashes), limits(limits), traffic(traffic),
      seeds(std::move(seeds)),
      socket(context, udp_endpoint(members.own().address)),
      server(context, members.own().address.value,
             [this](std::shared_ptr<http_request> request,
                    const std::shared_ptr<caller_presence>&)
             { return this->serve_view(std::move(request)); }),
      sends(members.own().link_mbps)
{
    this->socket.non_blocking(true);
    this->set_seeds(this->seeds);
}

void peer_exchange::start()
{
    this->server.start();
    this->view.on_advance(
        [this](store_position before)
        {
            this->note_advance();
            this->push_to_some(before);
        });
    asio::co_spawn(this->context, this->receive(), asio::detached);
    asio::co_spawn(this->context, this->probe(), asio::detached);
}

void peer_exchange::set_seeds(std::vector<peer_address> addresses)
{
    this->seeds = std::move(addresses);
    std::erase(this->seeds, this->members.own().address);
}

void peer_exchange::push_state()
{
    this->push_to_some(this->view.view().position());
}

void peer_exchange::push_state_to_readers()
{
    const store_position held = this->view.view().position();
    for (const peer_address& to :
         this->members.first_readers(reader_push_count))
    {
        this->send(to, datagram_kind::gossip, held);
    }
    this->push_to_some(held);
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
            // An earlier datagram was sent to a closed port. Probes of that
            // peer detect its loss.
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
        this->handle_datagram(*datagram);
    }
}

asio::awaitable<void> peer_exchange::probe()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        const store_position known = this->view.view().position();
        for (const peer_address& to : this->members.next_probes(now()))
        {
            this->send(to, datagram_kind::probe, known);
        }
        if (this->rounds < initial_seed_rounds ||
            this->rounds % rounds_per_seed_probe == 0)
        {
            for (const peer_address& seed : this->unreached_seeds())
            {
                this->send(seed, datagram_kind::probe, known);
            }
        }
        ++this->rounds;
        this->log_member_changes();
        const bool has_no_view = this->view.view().empty();
        timer.expires_after(has_no_view ? first_probe_interval
                                        : probe_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Fetches from the hosts that offer later views until this host has the latest
// one that it was offered.
asio::awaitable<void> peer_exchange::fetch_offered()
{
    asio::steady_timer timer(this->context);
    while (const auto usable_at =
               this->offers.next_time(this->view.view().position()))
    {
        const instant time = now();
        const auto offer = this->offers.take(time, this->run.random());
        if (offer && !this->is_dead(offer->from))
        {
            co_await this->fetch(*offer);
        }
        if (offer)
        {
            continue;
        }
        timer.expires_after(
            std::min<microseconds>(*usable_at - time, offer_check_interval));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --this->fetchers;
}

// Fetches the store changes that this host's view lacks from another host.
asio::awaitable<void> peer_exchange::fetch(view_offers::taken_offer offer)
{
    const peer_address from = offer.from;
    node_http_client client(this->context.get_executor(),
                            http_address(from.value));
    const store_position held = this->view.view().position();
    std::string target =
        fmt::format("{}{}{}{}{}", view_path, held.revision, era_parameter,
                    held.era.value, packed_parameter);
    const instant started = now();
    this->fetches[from] = started;
    const auto response = co_await client.get(
        std::move(target), response_timeouts::for_transfer(fetch_timeout));
    client.close();
    this->fetches.erase(from);
    if (response && response->result() == status::service_unavailable)
    {
        this->offers.defer(from, offer.position,
                           now() + busy_delay +
                               microseconds(static_cast<std::int64_t>(
                                   this->run.random() % busy_delay.count())));
        co_return;
    }
    const auto update =
        response ? decode_update(response->body(), this->packed) : std::nullopt;
    const microseconds took = now() - started;
    const auto took_ms = std::chrono::duration_cast<milliseconds>(took).count();
    if (this->fetch_handler)
    {
        this->fetch_handler(took, update.has_value());
    }
    if (!update)
    {
        log_event(log_level::info, "view_fetch_failed",
                  {{"from", from.value},
                   {"reason", client.last_error()},
                   {"after", held.revision},
                   {"bytes", client.received_bytes()},
                   {"took_ms", took_ms}});
        co_return;
    }
    if (took > reported_fetch_time)
    {
        log_event(log_level::info, "view_fetched",
                  {{"from", from.value},
                   {"after", held.revision},
                   {"revision", update->revision},
                   {"bytes", client.received_bytes()},
                   {"took_ms", took_ms}});
    }
    this->count_remote(from, traffic_purpose::views, response->body().size());
    // The age of the other view arrives with its next datagram.
    const update_result result = this->view.apply(*update, std::nullopt);
    if (result != update_result::applied)
    {
        log_event(log_level::info, "view_fetch_refused",
                  {{"from", from.value},
                   {"reason", to_string(result)},
                   {"era", update->era.value},
                   {"revision", update->revision}});
    }
}

asio::awaitable<http_response>
peer_exchange::serve_view(std::shared_ptr<http_request> request)
{
    const std::string_view target(request->target().data(),
                                  request->target().size());
    // Hosts of earlier releases do not send an era.
    store_position after{this->view.view().position().era, 0};
    if (target.starts_with(view_path))
    {
        const char* const end = target.data() + target.size();
        const char* const rest =
            std::from_chars(target.data() + view_path.size(), end,
                            after.revision)
                .ptr;
        const std::string_view era(rest, end);
        if (era.starts_with(era_parameter))
        {
            std::from_chars(rest + era_parameter.size(), end, after.era.value);
        }
    }
    http_response response(status::ok, 11);
    const item_update update = this->view.view().since(after);
    response.body() = target.ends_with(packed_parameter)
                          ? encode_update(update, this->packed)
                          : encode_update(update);
    const auto wait = this->sends.reserve(response.body().size(), now());
    if (!wait)
    {
        co_return http_response(status::service_unavailable, 11);
    }
    if (*wait > microseconds(0))
    {
        asio::steady_timer timer(this->context);
        timer.expires_after(*wait);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return response;
}

void peer_exchange::handle_datagram(const peer_datagram& datagram)
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
    for (const quarantine& one : datagram.quarantines)
    {
        if (this->crashes.merge(one, time))
        {
            const auto left =
                std::chrono::duration_cast<milliseconds>(one.remaining);
            log_event(log_level::warning, "quarantine_adopted",
                      {{"fingerprint", one.request_fingerprint.value},
                       {"from", datagram.from.address.value},
                       {"left_ms", left.count()}});
        }
    }
    for (const named_limit& one : datagram.limits)
    {
        this->limits.merge(one, time);
    }
    this->log_member_changes();
    this->update_view(datagram, time);
    if (datagram.kind == datagram_kind::probe)
    {
        this->send(datagram.from.address, datagram_kind::ack,
                   datagram.position);
    }
}

void peer_exchange::update_view(const peer_datagram& datagram, instant time)
{
    this->note_offer(datagram.position, time);
    const milliseconds age = datagram.age.value_or(milliseconds::max());
    const bool has_age = datagram.age.has_value();
    if (datagram.update && has_age)
    {
        this->view.apply(*datagram.update, time - age);
    }
    const store_position held = this->view.view().position();
    if (datagram.position == held && has_age && !this->view.view().empty())
    {
        this->view.confirm(time - age);
    }
    else if (datagram.position > held)
    {
        this->take_offer(datagram, time);
    }
}

// Fetches the later view that another host has, now or after the fetches in
// progress.
void peer_exchange::take_offer(const peer_datagram& datagram, instant time)
{
    const peer_address& from = datagram.from.address;
    if (this->fetches.contains(from))
    {
        return;
    }
    // A host of this failure domain may offer the same changes soon.
    const bool delayed = this->members.limits_traffic_to(from);
    this->offers.note(from, datagram.position,
                      delayed ? time + local_offer_delay : time);
    if (this->needs_fetcher(time))
    {
        ++this->fetchers;
        asio::co_spawn(this->context, this->fetch_offered(), asio::detached);
    }
}

bool peer_exchange::is_dead(const peer_address& address) const
{
    const member* const known = this->members.find(address);
    return known && known->state == member_state::dead;
}

// Returns whether to begin a fetch: none is in progress, or only one that is
// slow.
bool peer_exchange::needs_fetcher(instant now) const
{
    const bool slow = std::ranges::any_of(
        this->fetches | std::views::values,
        [now](instant began) { return now - began > slow_fetch_time; });
    return this->fetchers == 0 || (this->fetchers == 1 && slow);
}

// Sends one datagram, with the store changes that the other host lacks when
// they are few. A datagram that cannot be sent now is dropped; the next one
// follows soon.
void peer_exchange::send(const peer_address& to, datagram_kind kind,
                         store_position known)
{
    peer_datagram datagram;
    datagram.kind = kind;
    datagram.from = this->members.own();
    datagram.position = this->view.view().position();
    datagram.age = this->view.age(now());
    datagram.gossip = this->members.gossip(gossip_limit);
    if (known.revision > 0 && known.era == datagram.position.era &&
        known < datagram.position)
    {
        item_update update = this->view.view().since(known);
        if (update.after > 0 && encode_update(update).size() < update_limit)
        {
            datagram.update = std::move(update);
        }
    }
    const instant time = now();
    std::erase_if(this->suspected_crashes, [time](const suspected_crash& one)
                  { return time - one.at > suspected_crash_lifetime; });
    const std::size_t report_count =
        std::min(this->suspected_crashes.size(), suspected_crash_limit);
    datagram.suspected_crashes.assign(
        this->suspected_crashes.end() -
            static_cast<std::ptrdiff_t>(report_count),
        this->suspected_crashes.end());
    datagram.limits = this->limits.next_news(limit_news_limit, time);
    datagram.quarantines =
        this->crashes.next_quarantines(quarantine_limit, time);
    std::string bytes = encode_datagram(datagram, time);
    while (bytes.size() > datagram_limit &&
           !(datagram.limits.empty() && datagram.gossip.empty() &&
             datagram.quarantines.empty()))
    {
        if (datagram.limits.empty() && datagram.gossip.empty())
        {
            datagram.quarantines.resize(datagram.quarantines.size() / 2);
        }
        if (datagram.limits.empty())
        {
            datagram.gossip.resize(datagram.gossip.size() / 2);
        }
        datagram.limits.resize(datagram.limits.size() / 2);
        bytes = encode_datagram(datagram, time);
    }
    boost::system::error_code send_error;
    const auto endpoint = to_endpoint(to.value);
    if (!endpoint)
    {
        return;
    }
    this->socket.send_to(
        asio::buffer(bytes),
        asio::ip::udp::endpoint(endpoint->address(), endpoint->port()), 0,
        send_error);
    ++this->sent_count;
    this->count_remote(to, traffic_purpose::membership, bytes.size());
}

// Counts traffic with another host if that is in another failure domain.
void peer_exchange::count_remote(const peer_address& other,
                                 traffic_purpose purpose, std::size_t bytes)
{
    const member* const known = this->members.find(other);
    if (known && known->domain != this->members.own().domain)
    {
        this->traffic.add(purpose, bytes);
    }
}

void peer_exchange::announce_crash(const suspected_crash& crash)
{
    this->suspected_crashes.push_back(crash);
    this->push_state();
}

void peer_exchange::push_to_some(store_position known)
{
    for (const peer_address& to :
         this->members.push_targets(push_fanout, this->run.random()))
    {
        this->send(to, datagram_kind::gossip, known);
    }
}

void peer_exchange::note_offer(store_position offered, instant time)
{
    if (!this->pending_offer && offered > this->view.view().position())
    {
        this->pending_offer = first_offer{offered, time};
    }
}

// Records how long this host has lacked the first later view that it was
// offered.
void peer_exchange::note_advance()
{
    const store_position held = this->view.view().position();
    if (!this->pending_offer || held < this->pending_offer->position)
    {
        return;
    }
    const microseconds lag =
        now() - std::exchange(this->pending_offer, std::nullopt)->at;
    if (this->lag_handler)
    {
        this->lag_handler(lag);
    }
    if (lag > reported_view_lag)
    {
        log_event(log_level::info, "view_late",
                  {{"revision", held.revision},
                   {"lag_ms",
                    std::chrono::duration_cast<milliseconds>(lag).count()}});
    }
}

void peer_exchange::log_member_changes()
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

// Returns the seeds that are not live members.
std::vector<peer_address> peer_exchange::unreached_seeds() const
{
    const std::vector<peer_address> live = this->members.peers();
    std::vector<peer_address> result;
    std::ranges::copy_if(this->seeds, std::back_inserter(result),
                         [&live](const peer_address& seed) {
                             return std::ranges::find(live, seed) == live.end();
                         });
    return result;
}

} // namespace basilpath
