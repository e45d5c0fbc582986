/// Reading named values of the platform's configuration service.
#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace basilpath
{

class http_client;

/// What one call to the platform came to.
struct platform_reply
{
    /// The value with its revision, when the call brought one.
    struct value
    {
        std::uint64_t revision = 0;
        std::string bytes;
    };

    std::optional<value> content;

    /// True when the platform answered that nothing has changed.
    bool unchanged = false;

    /// Why there is neither content nor an answer of "unchanged".
    std::string reason;
};

/// Calls one platform service; see docs/platform-protocol.md.
class platform_client
{
public:
    /// `address` is the `ip:port` of the service.
    platform_client(http_client& http, std::string address);

    /// Reads a value. With `after` given the call is a watch: it returns when
    /// the revision differs, or unchanged when `wait` has passed.
    boost::asio::awaitable<platform_reply>
    read(std::string name, std::optional<std::uint64_t> after,
         std::chrono::milliseconds wait);

    /// Calls made since the process started; a watch counts as one.
    [[nodiscard]] std::uint64_t calls() const;

private:
    http_client& http;
    std::string address;
    std::uint64_t call_count = 0;
};

} // namespace basilpath
