/// One thread of a run: callers that send their share of the arrivals.
#pragma once

#include "connection/http_client.hpp"
#include "load/caller_directory.hpp"
#include "load/paced_arrivals.hpp"
#include "load/request_outcome.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace basilpath::load
{

struct load_plan;
struct traffic_mix;

/// Options of the callers of a run.
struct caller_options
{
    /// Entry hosts from which callers request the directory.
    std::vector<std::string> hosts;

    /// Callers per worker, each with its own directory.
    std::size_t callers = 4;

    /// Maximum number of requests in progress per worker. Arrivals beyond it
    /// are not sent and count as a violation.
    std::size_t in_progress_limit = 20'000;
};

/// Open-loop load generator: sends every arrival at its time, independent of
/// outstanding answers. Runs on the thread that calls `run`.
class load_worker
{
public:
    load_worker(const load_plan& plan, const caller_options& options,
                std::vector<arrival> arrivals, std::uint64_t seed);

    /// Fetches the callers' directories before the run.
    void prepare();

    /// Sends all arrivals at their times after `start`; returns when every
    /// request has ended.
    void run(std::chrono::steady_clock::time_point start);

    /// The requests of the run, in no particular order.
    [[nodiscard]] const std::vector<std::shared_ptr<request_outcome>>&
    outcomes() const;

    /// Arrivals that were not sent because too many were in progress.
    [[nodiscard]] std::size_t unsent() const;

private:
    /// A request with the directory of its caller.
    struct request_state
    {
        std::shared_ptr<request_outcome> outcome;
        std::shared_ptr<caller_directory> directory;
        std::string token;
        std::string first_host;
    };

    boost::asio::awaitable<void>
    send_once(std::shared_ptr<request_state> request, microseconds at);
    boost::asio::awaitable<caller_answer>
    send_request(const request_state& request, const std::string& host,
                 const std::string& name, milliseconds deadline);
    void start(const arrival& one);
    [[nodiscard]] const traffic_mix& mix_of(const request_state& request) const;

    const load_plan& plan;
    caller_options options;
    boost::asio::io_context context{1};
    paced_arrivals arrivals;
    http_client client;
    std::vector<std::shared_ptr<caller_directory>> directories;
    std::vector<std::shared_ptr<request_outcome>> finished;
    std::size_t in_progress = 0;
    std::size_t not_sent = 0;
};

} // namespace basilpath::load
