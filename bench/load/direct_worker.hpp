/// One thread of a run that calls the leaves directly.
#pragma once

#include "connection/http_client.hpp"
#include "load/paced_arrivals.hpp"
#include "load/request_outcome.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <random>
#include <vector>

namespace basilpath
{
struct document;
struct index_version;
struct shard;
struct target_list;
} // namespace basilpath

namespace basilpath::load
{

struct load_plan;

/// Sends each query to one random replica of every shard, or of one shard for
/// a look-up, and waits for all replies. Nothing is retried, hedged or merged.
class direct_worker
{
public:
    direct_worker(const load_plan& plan, const document& configuration,
                  const target_list& targets, std::vector<arrival> arrivals,
                  std::uint64_t seed);

    /// Does nothing; required by `run_workers`, which runs both kinds of
    /// worker.
    void prepare();

    void run(std::chrono::steady_clock::time_point start);

    [[nodiscard]] const std::vector<std::shared_ptr<request_outcome>>&
    outcomes() const;

    /// Always 0: the number of requests in progress is not limited.
    [[nodiscard]] std::size_t unsent() const;

private:
    /// A query and the number of shards that have not replied yet.
    struct pending_query
    {
        std::shared_ptr<request_outcome> outcome;
        const index_version* version = nullptr;
        std::size_t pending_shards = 0;
        caller_answer answer;
    };

    void start(const arrival& one);
    boost::asio::awaitable<void>
    query_shard(std::shared_ptr<pending_query> query, shard_number number);
    [[nodiscard]] http_request make_request(const pending_query& query,
                                            const shard& wanted);
    void finish(pending_query& query) const;

    const load_plan& plan;
    const document& configuration;
    const target_list& targets;
    std::mt19937_64 generator;
    boost::asio::io_context context{1};
    paced_arrivals arrivals;
    http_client client;
    std::vector<std::shared_ptr<request_outcome>> finished;
};

} // namespace basilpath::load
