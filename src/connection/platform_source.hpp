/// What an agent needs of the platform.
#pragma once

#include "connection/platform_client.hpp"

#include <concepts>

namespace basilpath
{

/// Reads values of the platform and counts its calls; `platform_client` in
/// the program, a stand-in in tests.
template <class Platform>
concept platform_source =
    requires(Platform& p, std::string name, std::optional<std::uint64_t> after,
             std::chrono::milliseconds wait) {
        {
            p.read(name, after, wait)
        } -> std::same_as<boost::asio::awaitable<platform_reply>>;
        {
            p.calls()
        } -> std::same_as<std::uint64_t>;
    };

static_assert(platform_source<platform_client>);

} // namespace basilpath
