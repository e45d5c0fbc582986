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
    if (const auto* const asked = std::get_if<subquery>(&message))
    {
        this->start(*asked);
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

// Begins a subquery, unless it is about routes that are not in force here or
// its request crashes replicas.
template <runtime Runtime, target_transport Transport>
void subquery_service<Runtime, Transport>::link::start(const subquery& asked)
{
    std::erase_if(this->sessions,
                  [](const auto& one) { return one.second.expired(); });
    const auto& table = this->owner.routes;
    const route* const rule = table && table->version() == asked.version
                                  ? table->named(asked.route)
                                  : nullptr;
    const bool known =
        rule &&
        std::ranges::all_of(asked.shards, [rule](const subquery_shard& one)
                            { return one.shard < rule->gather.shards.size(); });
    if (!known || this->owner.shared.crashes.quarantined(
                      fingerprint_of(*asked.query), asked.query->arrived))
    {
        this->refuse(asked);
        return;
    }
    const auto begun = std::make_shared<session>(this->owner.shared, table,
                                                 *rule, asked, this->send);
    this->sessions[asked.number] = begun;
    ++this->owner.running;
    boost::asio::co_spawn(this->owner.shared.run.executor(), begun->run(),
                          [owner = &this->owner, begun, id = asked.query->id](
                              const std::exception_ptr& failed)
                          {
                              --owner->running;
                              if (failed)
                              {
                                  log_event(log_level::error, "subquery_failed",
                                            {{"request", id.value}});
                                  begun->cancel();
                              }
                          });
}

template <runtime Runtime, target_transport Transport>
void subquery_service<Runtime, Transport>::link::refuse(const subquery& asked)
{
    log_event(log_level::info, "subquery_refused",
              {{"request", asked.query->id.value},
               {"version", asked.version.value},
               {"in_force",
                this->owner.routes ? this->owner.routes->version().value : 0}});
    subquery_report report;
    report.number = asked.number;
    for (const subquery_shard& one : asked.shards)
    {
        report.missing_shards.push_back(
            {one.shard, missing_reason::not_sent, {}});
    }
    this->send(report);
}

} // namespace basilpath
