/// One caller's cached list of entry hosts.
#pragma once

#include "version/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{
class http_client;
}

namespace basilpath::load
{

/// One host of a directory.
struct directory_host
{
    std::string address;
    double weight = 1.0;

    bool operator==(const directory_host&) const = default;
};

/// The response to `GET /v1/directory`.
struct directory_answer
{
    std::vector<directory_host> hosts;
    std::vector<std::string> tokens;
    milliseconds max_age{30'000};
};

/// Parses a directory; nullopt if it is malformed.
[[nodiscard]] std::optional<directory_answer>
read_directory(std::string_view body);

/// Caches the directory for the time given in it and picks hosts at random by
/// weight. Until the first response, picks among the initial hosts.
class caller_directory : public std::enable_shared_from_this<caller_directory>
{
public:
    caller_directory(boost::asio::io_context& context, http_client& client,
                     std::vector<std::string> hosts, std::uint64_t seed);

    /// Requests the directory from the initial hosts, one by one until one
    /// returns it.
    boost::asio::awaitable<void> refresh();

    /// Starts a refresh in the background once the cached directory has
    /// expired.
    void refresh_if_due();

    /// Picks a host by weight, other than `avoid` if there is another.
    [[nodiscard]] std::string pick(const std::string& avoid);

    /// Removes a host and makes a refresh due, unless it is the only host.
    void mark_failed(const std::string& host);

    /// Returns a random home token; empty before the first response.
    [[nodiscard]] std::string token();

    /// Hosts of the last response without those marked as failed.
    [[nodiscard]] const std::vector<directory_host>& hosts() const;

private:
    boost::asio::io_context& context;
    http_client& client;
    std::vector<std::string> seeds;
    std::mt19937_64 generator;
    directory_answer answer;
    std::chrono::steady_clock::time_point refresh_at;
    bool refreshing = false;
};

} // namespace basilpath::load
