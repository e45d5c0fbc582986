/// Health check of a replica.
#pragma once

#include "node/connection/http_client.hpp"
#include "node/connection/target_codec.hpp"
#include "node/request/target_call.hpp"
#include "node/version/replica.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace basilpath
{

inline constexpr milliseconds health_check_timeout{400};

/// Status of a replica that is healthy and does not leave.
inline constexpr unsigned healthy_status = 200;

/// Limit of the body of a health check's answer, which is not used.
inline constexpr std::uint64_t max_health_check_bytes = 16'384;

/// Checks the health of a replica on a separate connection. Returns its reply,
/// which may say that it is unhealthy, or nothing when the replica does not
/// answer in time or a different replica answers at its address.
template <target_codec Codec>
boost::asio::awaitable<std::optional<target_reply>>
check_health(boost::asio::any_io_executor executor, replica target,
             std::string path)
{
    node_http_client client(executor, target.address, max_health_check_bytes);
    auto response = co_await client.get(std::move(path), health_check_timeout);
    client.close();
    const bool own = response.has_value() &&
                     Codec::responding_replica(*response) == target.id;
    if (!own)
    {
        co_return std::nullopt;
    }
    co_return Codec::decode_reply(std::move(*response));
}

} // namespace basilpath
