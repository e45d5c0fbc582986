#include "node/process/subquery_service.hpp"

#include "node/process/crash_detector.hpp"
#include "node/request/subquery_session.ipp"
#include "process/log.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <exception>
#include <string>
#include <utility>
#include <variant>

namespace basilpath
{

template <runtime Runtime, target_transport Transport>
subquery_service<Runtime, Transport>::link::link(subquery_service& owner,
                                                 sender send)
    : owner(owner), send(std::move(send))
{
}

template <runtime Runtime, target_transport Transport>
bool subquery_service<Runtime, Transport>::link::take(
    const link_message& message)
{
    if (const auto* const requested = std::get_if<subquery>(&message))
    {
        this->start(*requested);
        return true;
    }
    if (const auto* const one = std::get_if<subquery_shard_cancel>(&message))
    {
        if (const auto session = this->sessions[one->number].lock())
        {
            session->cancel_shard(one->shard);
        }
        return true;
    }
    if (const auto* const one = std::get_if<subquery_cancel>(&message))
    {
        if (const auto session = this->sessions[one->number].lock())
        {
            session->cancel();
        }
        this->sessions.erase(one->number);
        return true;
    }
    return false;
}

template <runtime Runtime, target_transport Transport>
void subquery_service<Runtime, Transport>::link::close()
{
    for (const auto& [number, one] : std::exchange(this->sessions, {}))
    {
        if (const auto session = one.lock())
        {
            session->cancel();
        }
    }
}

// Starts a subquery, unless its routes are not in force here or its request
// crashes replicas.
template <runtime Runtime, target_transport Transport>
void subquery_service<Runtime, Transport>::link::start(
    const subquery& requested)
{
    std::erase_if(this->sessions,
                  [](const auto& one) { return one.second.expired(); });
    const auto& table = this->owner.routes;
    const route* const rule = table && table->version() == requested.version
                                  ? table->named(requested.route)
                                  : nullptr;
    const bool valid =
        rule &&
        std::ranges::all_of(requested.shards, [rule](const subquery_shard& one)
                            { return one.shard < rule->gather.shards.size(); });
    if (!valid ||
        this->owner.shared.crashes.quarantined(fingerprint_of(*requested.query),
                                               requested.query->arrived))
    {
        this->refuse(requested);
        return;
    }
    const auto started = std::make_shared<session>(
        this->owner.shared, table, *rule, requested, this->send);
    this->sessions[requested.number] = started;
    ++this->owner.running;
    boost::asio::co_spawn(
        this->owner.shared.run.executor(), started->run(),
        [owner = &this->owner, started,
         id = requested.query->id](const std::exception_ptr& failed)
        {
            --owner->running;
            if (failed)
            {
                log_event(log_level::error, "subquery_failed",
                          {{"request", id.value}});
                started->cancel();
            }
        });
}

template <runtime Runtime, target_transport Transport>
void subquery_service<Runtime, Transport>::link::refuse(
    const subquery& requested)
{
    log_event(log_level::info, "subquery_refused",
              {{"request", requested.query->id.value},
               {"version", requested.version.value},
               {"in_force",
                this->owner.routes ? this->owner.routes->version().value : 0}});
    subquery_report report;
    report.number = requested.number;
    for (const subquery_shard& one : requested.shards)
    {
        report.missing_shards.push_back(
            {one.shard, missing_reason::not_sent, {}});
    }
    this->send(report);
}

} // namespace basilpath
