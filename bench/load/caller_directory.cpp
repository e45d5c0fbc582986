#include "load/caller_directory.hpp"

#include "connection/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace basilpath::load
{

namespace
{

constexpr std::chrono::milliseconds directory_timeout{1'000};

// Returns the hosts other than `avoid`, or all hosts if there is no other.
std::vector<directory_host>
exclude_host(const std::vector<directory_host>& hosts, const std::string& avoid)
{
    std::vector<directory_host> others;
    std::ranges::remove_copy(hosts, std::back_inserter(others), avoid,
                             &directory_host::address);
    return others.empty() ? hosts : others;
}

} // namespace

std::optional<directory_answer> read_directory(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts"))
    {
        return std::nullopt;
    }
    directory_answer answer;
    try
    {
        for (const auto& host : json.at("hosts"))
        {
            answer.hosts.push_back({host.at("address").get<std::string>(),
                                    host.value("weight", 1.0)});
        }
        answer.tokens = json.value("tokens", std::vector<std::string>());
        answer.max_age = milliseconds(json.value("keep_ms", 30'000));
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
    return answer.hosts.empty() ? std::nullopt : std::optional(answer);
}

caller_directory::caller_directory(boost::asio::io_context& context,
                                   http_client& client,
                                   std::vector<std::string> hosts,
                                   std::uint64_t seed)
    : context(context), client(client), seeds(std::move(hosts)),
      generator(seed), refresh_at(std::chrono::steady_clock::now())
{
    std::ranges::transform(this->seeds, std::back_inserter(this->answer.hosts),
                           [](const std::string& address) {
                               return directory_host{address, 1.0};
                           });
    std::ranges::shuffle(this->seeds, this->generator);
}

boost::asio::awaitable<void> caller_directory::refresh()
{
    const auto self = this->shared_from_this();
    this->refreshing = true;
    for (const std::string& seed : this->seeds)
    {
        http_request request;
        request.method = "GET";
        request.url = "http://" + seed + "/v1/directory";
        request.timeout = directory_timeout;
        const http_reply reply = co_await this->client.send(request);
        auto read =
            reply.status == 200 ? read_directory(reply.body) : std::nullopt;
        if (read)
        {
            this->answer = std::move(*read);
            break;
        }
    }
    this->refresh_at = std::chrono::steady_clock::now() + this->answer.max_age;
    this->refreshing = false;
}

void caller_directory::refresh_if_due()
{
    if (this->refreshing || std::chrono::steady_clock::now() < this->refresh_at)
    {
        return;
    }
    this->refreshing = true;
    boost::asio::co_spawn(this->context, this->refresh(),
                          boost::asio::detached);
}

std::string caller_directory::pick(const std::string& avoid)
{
    const auto candidates = exclude_host(this->answer.hosts, avoid);
    std::vector<double> weights;
    std::ranges::transform(candidates, std::back_inserter(weights),
                           &directory_host::weight);
    std::discrete_distribution<std::size_t> index(weights.begin(),
                                                  weights.end());
    return candidates[index(this->generator)].address;
}

void caller_directory::mark_failed(const std::string& host)
{
    const auto remaining = exclude_host(this->answer.hosts, host);
    if (remaining.size() < this->answer.hosts.size())
    {
        this->answer.hosts = remaining;
        this->refresh_at = std::chrono::steady_clock::now();
    }
}

std::string caller_directory::token()
{
    const auto& tokens = this->answer.tokens;
    return tokens.empty() ? std::string()
                          : tokens[this->generator() % tokens.size()];
}

const std::vector<directory_host>& caller_directory::hosts() const
{
    return this->answer.hosts;
}

} // namespace basilpath::load
