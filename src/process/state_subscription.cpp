#include "process/state_subscription.hpp"

#include "connection/peer_hub.hpp"
#include "process/log.hpp"
#include "version/acceptance.hpp"
#include "version/value_sections.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds first_retry_interval = 100ms;
constexpr std::chrono::milliseconds renewal_interval = 1s;

// Adds what is held of one value to a subscription.
void add_held(wire::Subscribe& message, const char* name, std::uint64_t number,
              std::uint64_t digest)
{
    if (digest != 0)
    {
        wire::ValueDigest& held = *message.add_held();
        held.set_name(name);
        held.set_number(number);
        held.set_digest(digest);
    }
}

// Tells whether a value may take the place of the held one, and logs why not.
bool may_replace(const char* name, std::uint64_t held, std::uint64_t offered)
{
    if (offered > held)
    {
        return true;
    }
    log_event(log_level::error,
              offered == held ? "value_conflict" : "value_lower_ignored",
              {{"value", name}, {"held", held}, {"offered", offered}});
    return false;
}

} // namespace

state_subscription::state_subscription(boost::asio::io_context& context,
                                       peer_hub& hub, peer_address agent,
                                       std::string program)
    : context(context), hub(hub), agent(std::move(agent)),
      program(std::move(program)),
      timer(std::make_shared<boost::asio::steady_timer>(context)),
      state(std::make_shared<system_state>())
{
}

state_subscription::~state_subscription()
{
    this->timer->cancel();
}

void state_subscription::start()
{
    // The task holds the timer alone; a cancelled wait tells that the object
    // is gone.
    auto renew = [this, timer = this->timer]() -> boost::asio::awaitable<void>
    {
        while (true)
        {
            this->subscribe();
            timer->expires_after(this->digest == 0 ? first_retry_interval
                                                   : renewal_interval);
            const auto [failed] = co_await timer->async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
            if (failed)
            {
                co_return;
            }
        }
    };
    boost::asio::co_spawn(this->context, std::move(renew),
                          boost::asio::detached);
}

void state_subscription::receive(const wire::State& message)
{
    if (message.digest() == this->digest)
    {
        return;
    }
    auto next = std::make_shared<system_state>(*this->state);
    this->take_document(message.document(), *next);
    this->take_targets(message.targets(), *next);
    this->take_hosts(message.hosts(), *next);
    next->dead_hosts.clear();
    next->leaving_leaves.clear();
    next->leaving_hosts.clear();
    next->quarantines.clear();
    std::ranges::for_each(message.dead_hosts(), [&](const std::string& id)
                          { next->dead_hosts.emplace(id); });
    std::ranges::for_each(message.leaving_leaves(), [&](const std::string& id)
                          { next->leaving_leaves.emplace(id); });
    std::ranges::for_each(message.leaving_hosts(), [&](const std::string& id)
                          { next->leaving_hosts.emplace(id); });
    const auto now = std::chrono::steady_clock::now();
    for (const wire::Quarantine& one : message.quarantines())
    {
        next->quarantines[fingerprint(one.fingerprint())] =
            now + milliseconds(one.remaining_ms());
    }
    // Invariant: the document in force never goes back.
    assert(!this->state->configuration ||
           next->configuration->number >= this->state->configuration->number);
    this->digest = this->lacks_value(message) ? 0 : message.digest();
    this->state = std::move(next);
    std::ranges::for_each(this->listeners, [this](const listener& listen)
                          { listen(this->state); });
}

std::shared_ptr<const system_state> state_subscription::current() const
{
    return this->state;
}

void state_subscription::on_change(listener listen)
{
    this->listeners.push_back(std::move(listen));
}

// Tells whether the message left out a value that is not held here, which is so
// after an earlier message was lost.
bool state_subscription::lacks_value(const wire::State& message) const
{
    const auto lacking = [&](const wire::ValueDigest& one)
    {
        if (one.name() == "document")
        {
            return message.document().empty() &&
                   one.digest() != this->held_document.digest;
        }
        if (one.name() == "targets")
        {
            return message.targets().empty() &&
                   one.digest() != this->held_targets.digest;
        }
        return one.name() == "hosts" && message.hosts().empty() &&
               one.digest() != this->held_hosts.digest;
    };
    return std::ranges::any_of(message.values(), lacking);
}

// Tells the agent what is held, so that it sends only what is new.
void state_subscription::subscribe()
{
    wire::Envelope envelope;
    wire::Subscribe& message = *envelope.mutable_subscribe();
    message.set_digest(this->digest);
    message.set_program(this->program);
    add_held(message, "document", this->held_document.number,
             this->held_document.digest);
    add_held(message, "targets", this->held_targets.number,
             this->held_targets.digest);
    add_held(message, "hosts", this->held_hosts.number,
             this->held_hosts.digest);
    this->hub.send(this->agent, std::move(envelope));
}

// Takes a document when it is new, sound and higher than the one held.
void state_subscription::take_document(const std::string& bytes,
                                       system_state& next)
{
    const std::uint64_t offered = content_digest(bytes);
    if (bytes.empty() || offered == this->held_document.digest)
    {
        return;
    }
    const acceptance judged = judge_document(bytes, next.configuration);
    if (judged.verdict != acceptance_verdict::accepted)
    {
        log_event(
            log_level::error, "document_refused",
            {{"verdict", name_of(judged.verdict)}, {"reason", judged.reason}});
        return;
    }
    next.configuration = judged.in_force;
    this->held_document = {judged.in_force->number.value, offered};
}

// Takes a target list when it is new, sound and higher than the one held.
void state_subscription::take_targets(const std::string& bytes,
                                      system_state& next)
{
    const std::uint64_t offered = content_digest(bytes);
    if (bytes.empty() || offered == this->held_targets.digest)
    {
        return;
    }
    std::string reason;
    const auto parsed = parse_target_list(bytes, &reason);
    if (!parsed)
    {
        log_event(log_level::error, "target_list_faulty", {{"reason", reason}});
    }
    else if (may_replace("targets", this->held_targets.number,
                         parsed->revision))
    {
        next.targets = parsed;
        this->held_targets = {parsed->revision, offered};
    }
}

// Takes a host list when it is new, sound and higher than the one held.
void state_subscription::take_hosts(const std::string& bytes,
                                    system_state& next)
{
    const std::uint64_t offered = content_digest(bytes);
    if (bytes.empty() || offered == this->held_hosts.digest)
    {
        return;
    }
    std::string reason;
    const auto parsed = parse_host_list(bytes, &reason);
    if (!parsed)
    {
        log_event(log_level::error, "host_list_faulty", {{"reason", reason}});
    }
    else if (may_replace("hosts", this->held_hosts.number, parsed->revision))
    {
        next.hosts = parsed;
        this->held_hosts = {parsed->revision, offered};
    }
}

} // namespace basilpath
