#include "connection/platform_client.hpp"

#include "connection/http_client.hpp"

#include <fmt/format.h>

#include <charconv>
#include <string_view>
#include <utility>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds answer_time_limit = 2s;
constexpr std::string_view revision_prefix = "revision ";

// Splits the line `revision N` from the bytes that follow it.
std::optional<platform_reply::value> split_revision(const std::string& body)
{
    const std::size_t end = body.find('\n');
    if (!body.starts_with(revision_prefix) || end == std::string::npos)
    {
        return std::nullopt;
    }
    platform_reply::value value;
    const char* const last = body.data() + end;
    const auto parsed = std::from_chars(body.data() + revision_prefix.size(),
                                        last, value.revision);
    if (parsed.ec != std::errc{} || parsed.ptr != last)
    {
        return std::nullopt;
    }
    value.bytes = body.substr(end + 1);
    return value;
}

// Turns an HTTP reply into what it means.
platform_reply interpret(const http_reply& reply)
{
    platform_reply result;
    if (reply.outcome != http_outcome::answered)
    {
        result.reason = fmt::format("no answer: {}", reply.error);
    }
    else if (reply.status == 304)
    {
        result.unchanged = true;
    }
    else if (reply.status != 200)
    {
        result.reason = fmt::format("status {}", reply.status);
    }
    else
    {
        result.content = split_revision(reply.body);
        result.reason = result.content ? "" : "no revision line";
    }
    return result;
}

} // namespace

platform_client::platform_client(http_client& http, std::string address)
    : http(http), address(std::move(address))
{
}

boost::asio::awaitable<platform_reply>
platform_client::read(std::string name, std::optional<std::uint64_t> after,
                      std::chrono::milliseconds wait)
{
    ++this->call_count;
    http_request request;
    request.method = "GET";
    request.url = fmt::format("http://{}/v1/values/{}", this->address, name);
    request.timeout = answer_time_limit;
    if (after)
    {
        request.url +=
            fmt::format("?after={}&wait_ms={}", *after, wait.count());
        request.timeout += wait;
    }
    const http_reply reply = co_await this->http.send(std::move(request));
    co_return interpret(reply);
}

std::uint64_t platform_client::calls() const
{
    return this->call_count;
}

} // namespace basilpath
