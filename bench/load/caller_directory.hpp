/// The entry hosts that one caller uses, as a host last told it.
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

/// What `GET /v1/directory` answers.
struct directory_answer
{
    std::vector<directory_host> hosts;
    std::vector<std::string> tokens;
    milliseconds keep{30'000};
};

/// Reads a directory; nothing when it is not of the documented form.
[[nodiscard]] std::optional<directory_answer>
read_directory(std::string_view body);

/// Asks once, keeps the answer for as long as it says, and picks hosts by
/// their weight. Until the first answer it picks among the hosts it was given.
class caller_directory : public std::enable_shared_from_this<caller_directory>
{
public:
    caller_directory(boost::asio::io_context& context, http_client& client,
                     std::vector<std::string> hosts, std::uint64_t seed);

    /// Asks one of the hosts given, and each in turn until one answers.
    boost::asio::awaitable<void> refresh();

    /// Starts a refresh in the background when the answer was kept its time.
    void refresh_if_due();

    /// Picks a host by weight, another than `avoid` when there is one.
    [[nodiscard]] std::string pick(const std::string& avoid);

    /// Notes that a host could not be reached, so that a refresh is due.
    void failed(const std::string& host);

    /// One of the home tokens; empty before the first answer.
    [[nodiscard]] std::string token();

    /// The hosts of the last answer.
    [[nodiscard]] const std::vector<directory_host>& hosts() const;

private:
    boost::asio::io_context& context;
    http_client& client;
    std::vector<std::string> seeds;
    std::mt19937_64 generator;
    directory_answer answer;
    std::chrono::steady_clock::time_point due;
    bool refreshing = false;
};

} // namespace basilpath::load
