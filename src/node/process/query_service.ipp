#include "node/process/query_service.hpp"

#include "node/request/forward_session.ipp"
#include "node/request/gather_session.ipp"
#include "process/log.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace basilpath
{

namespace query_service_bounds
{

/// When a refused caller may come back: drawn evenly from this range, so that
/// many who were refused together do not return together. A replica that
/// pauses is back within it.
inline constexpr milliseconds least_return{40};
inline constexpr milliseconds most_return{160};

} // namespace query_service_bounds

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<caller_reply>
query_service<Runtime, Transport>::answer(
    std::shared_ptr<const caller_query> query,
    std::shared_ptr<caller_presence> presence)
{
    const auto table = this->routes;
    if (!table)
    {
        co_return this->refuse(503, "no configuration yet");
    }
    const std::string_view path =
        std::string_view(query->target).substr(0, query->target.find('?'));
    const route* const rule = table->find(query->host, path);
    if (!rule)
    {
        co_return caller_reply{404, {}, "no such route\n", {}, {}, {}};
    }
    if (rule->gathers())
    {
        co_return co_await this->gather(table, *rule, std::move(query),
                                        std::move(presence));
    }
    co_return co_await this->forward(table, *rule, std::move(query),
                                     std::move(presence));
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<caller_reply>
query_service<Runtime, Transport>::gather(
    std::shared_ptr<const route_table> table, const route& rule,
    std::shared_ptr<const caller_query> query,
    std::shared_ptr<caller_presence> presence)
{
    const milliseconds patience = query->patience.value_or(rule.timeout);
    const gather_times times{query->arrived,
                             this->spent(rule, patience) + presence->travelled(),
                             presence->return_trip(), patience,
                             this->shared.targets.latency(rule.name).slow};
    const auto session = std::make_shared<gather_session<Runtime, Transport>>(
        this->shared, std::move(table), rule, query, times);
    gather_result result = co_await session->run(std::move(presence));
    switch (result.end)
    {
    case gather_end::answered:
        co_return caller_reply{200,
                               {},
                               std::move(result.answer.records),
                               {},
                               std::move(result.answer.signatures),
                               result.answer.missing};
    case gather_end::not_attempted:
        co_return this->refuse(503, "too few shards have a replica");
    case gather_end::out_of_reach:
        co_return this->refuse(502, "too many shards failed");
    case gather_end::caller_left:
    case gather_end::timed_out:
        break;
    }
    co_return this->refuse(504, "too few shards answered in time");
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<caller_reply>
query_service<Runtime, Transport>::forward(
    std::shared_ptr<const route_table> table, const route& rule,
    std::shared_ptr<const caller_query> query,
    std::shared_ptr<caller_presence> presence)
{
    const forward_times times{query->arrived,
                              query->patience.value_or(rule.timeout),
                              this->shared.targets.latency(rule.name).slow};
    const auto session = std::make_shared<forward_session<Runtime, Transport>>(
        this->shared, std::move(table), rule, this->choose_part(rule), query,
        times);
    forward_result result = co_await session->run(std::move(presence));
    switch (result.end)
    {
    case forward_end::answered:
        co_return caller_reply{result.reply.status,
                               std::move(result.reply.headers),
                               std::move(result.reply.body),
                               {},
                               {},
                               {}};
    case forward_end::not_run:
        co_return this->refuse(503, "no replica could run the request");
    case forward_end::caller_left:
    case forward_end::may_have_run:
        break;
    }
    co_return this->refuse(504, "no answer; the request may have run");
}

template <runtime Runtime, target_transport Transport>
caller_reply query_service<Runtime, Transport>::refuse(unsigned status,
                                                       std::string reason)
{
    const auto range = query_service_bounds::most_return -
                       query_service_bounds::least_return;
    const milliseconds wait =
        query_service_bounds::least_return +
        milliseconds(static_cast<std::int64_t>(
            this->shared.run.random() %
            static_cast<std::uint64_t>(range.count())));
    return {status, {}, reason + "\n", wait, {}, {}};
}

// How long the caller has waited in earlier attempts: a first attempt comes
// with the longest patience, later ones with what is left of it.
template <runtime Runtime, target_transport Transport>
milliseconds query_service<Runtime, Transport>::spent(const route& rule,
                                                      milliseconds patience)
{
    milliseconds& first = this->first_patience[rule.name];
    first = std::max(first, patience);
    return first - patience;
}

// Takes the parts of a split in turn, each as often as its weight says.
template <runtime Runtime, target_transport Transport>
service_name query_service<Runtime, Transport>::choose_part(const route& rule)
{
    if (rule.parts.size() == 1)
    {
        return rule.parts.front().service;
    }
    const double total = std::accumulate(
        rule.parts.begin(), rule.parts.end(), 0.0,
        [](double sum, const split_part& part) { return sum + part.weight; });
    const split_part* chosen = nullptr;
    for (const split_part& part : rule.parts)
    {
        double& credit = this->part_credit[part.service];
        credit += part.weight;
        if (!chosen || credit > this->part_credit[chosen->service])
        {
            chosen = &part;
        }
    }
    this->part_credit[chosen->service] -= total;
    return chosen->service;
}

} // namespace basilpath
