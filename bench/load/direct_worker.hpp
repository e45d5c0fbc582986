/// One thread of a run that calls the leaves itself.
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
/// a look-up, and waits for all. Nothing is retried, hedged or merged.
class direct_worker
{
public:
    direct_worker(const load_plan& plan, const document& configuration,
                  const target_list& targets, std::vector<arrival> arrivals,
                  std::uint64_t seed);

    /// Nothing to prepare; here so that both kinds of worker run alike.
    void prepare();

    void run(std::chrono::steady_clock::time_point start);

    [[nodiscard]] const std::vector<std::shared_ptr<request_outcome>>&
    outcomes() const;

    /// Always 0: nothing is held back.
    [[nodiscard]] std::size_t unsent() const;

private:
    /// A query and the shards that have not answered.
    struct open_query
    {
        std::shared_ptr<request_outcome> outcome;
        const index_version* version = nullptr;
        std::size_t left = 0;
        caller_answer answer;
    };

    void start(const arrival& one);
    boost::asio::awaitable<void> ask(std::shared_ptr<open_query> query,
                                     shard_number number);
    [[nodiscard]] http_request make_request(const open_query& query,
                                            const shard& wanted);
    void finish(open_query& query) const;

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
