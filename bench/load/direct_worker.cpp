#include "load/direct_worker.hpp"

#include "load/load_plan.hpp"
#include "request/result_code.hpp"
#include "version/document.hpp"
#include "version/index_version.hpp"
#include "version/target_list.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace basilpath::load
{

namespace
{

constexpr int http_ok = 200;

// Returns the shards that a query of this service is sent to.
std::vector<shard_number> shards_of(const service& wanted,
                                    const std::string& subject)
{
    const auto& all = wanted.versions.front()->shards;
    if (wanted.kind == service_kind::lookup)
    {
        return {all[XXH3_64bits(subject.data(), subject.size()) % all.size()]
                    .number};
    }
    std::vector<shard_number> numbers(all.size());
    std::ranges::transform(all, numbers.begin(), &shard::number);
    return numbers;
}

} // namespace

direct_worker::direct_worker(const load_plan& plan,
                             const document& configuration,
                             const target_list& targets,
                             std::vector<arrival> arrivals, std::uint64_t seed)
    : plan(plan), configuration(configuration), targets(targets),
      generator(seed), arrivals(this->context, std::move(arrivals)),
      client(this->context)
{
}

void direct_worker::prepare() {}

void direct_worker::run(std::chrono::steady_clock::time_point start)
{
    this->arrivals.run(start, [this](const arrival& one) { this->start(one); });
}

const std::vector<std::shared_ptr<request_outcome>>&
direct_worker::outcomes() const
{
    return this->finished;
}

std::size_t direct_worker::unsent() const
{
    return 0;
}

// Sends a query to all its shards in parallel.
void direct_worker::start(const arrival& one)
{
    const service* const wanted =
        this->configuration.find_service(this->plan.mixes[one.mix].service);
    if (wanted == nullptr)
    {
        return;
    }
    const auto query = std::make_shared<pending_query>();
    query->outcome = std::make_shared<request_outcome>();
    query->outcome->scheduled = one;
    query->outcome->sends = 1;
    query->outcome->send_delay = this->arrivals.elapsed() - one.at;
    query->version = wanted->versions.front().get();
    query->answer.version = query->version->number;
    this->finished.push_back(query->outcome);
    const auto shards = shards_of(*wanted, one.subject);
    query->pending_shards = shards.size();
    for (const shard_number number : shards)
    {
        boost::asio::co_spawn(this->context, this->query_shard(query, number),
                              boost::asio::detached);
    }
}

// Queries one shard; the last reply completes the query.
boost::asio::awaitable<void>
direct_worker::query_shard(std::shared_ptr<pending_query> query,
                           shard_number number)
{
    http_request request =
        this->make_request(*query, query->version->shards.at(number.value));
    const http_reply reply = co_await this->client.send(std::move(request));
    if (reply.status == http_ok)
    {
        const auto json = nlohmann::json::parse(reply.body, nullptr, false);
        query->answer.origins.push_back({number, query->version->number});
        query->answer.items +=
            json.is_object() ? json.value("items", nlohmann::json()).size() : 0;
    }
    else
    {
        query->answer.missing.push_back(number);
    }
    if (--query->pending_shards == 0)
    {
        this->finish(*query);
    }
}

// Builds the request to one random replica.
http_request direct_worker::make_request(const pending_query& query,
                                         const shard& wanted)
{
    const arrival& scheduled = query.outcome->scheduled;
    const traffic_mix& mix = this->plan.mixes[scheduled.mix];
    const leaf_id& replica =
        wanted.leaves[this->generator() % wanted.leaves.size()];
    const nlohmann::json body = {
        {"request", fmt::format("direct-{}", scheduled.number)},
        {"attempt", wanted.number.value + 1},
        {"service", mix.service.value},
        {"version", query.version->number.value},
        {"shard", wanted.number.value},
        {"deadline_ms", mix.deadline.count()},
        {"execute", mix.execute},
        {"query", {{"key", scheduled.subject}}}};
    http_request request;
    request.url = fmt::format("http://{}/v1/leaf",
                              this->targets.entries.at(replica).address.value);
    request.body = body.dump();
    request.timeout = mix.deadline;
    return request;
}

// Records the answer that the caller would assemble from the shards' replies.
void direct_worker::finish(pending_query& query) const
{
    caller_answer& answer = query.answer;
    const bool all_replied = answer.missing.empty();
    double missing = 0.0;
    for (const shard_number number : answer.missing)
    {
        missing += query.version->shards.at(number.value).weight;
    }
    answer.transport = http_outcome::answered;
    answer.received = this->arrivals.elapsed();
    answer.reported_coverage = 1.0 - missing / query.version->total_weight;
    answer.code = static_cast<std::uint32_t>(
        all_replied ? result_code::complete : result_code::partial);
    query.outcome->answers.push_back(answer);
}

} // namespace basilpath::load
