/// The health check of a replica.
#pragma once

#include "node/connection/http_client.hpp"
#include "node/connection/target_codec.hpp"
#include "node/request/target_call.hpp"
#include "node/version/replica.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <utility>

namespace basilpath
{

/// How long a health check may take.
inline constexpr milliseconds health_check_timeout{400};

/// Asks a replica for its health, on a connection of its own. Its answer, with
/// the load that it tells; nothing when it is not well, does not answer in
/// time, or another one answers at its address.
template <target_codec Codec>
boost::asio::awaitable<std::optional<target_reply>>
check_health(boost::asio::any_io_executor executor, replica target,
             std::string path)
{
    node_http_client client(executor, target.address);
    auto response = co_await client.get(std::move(path), health_check_timeout);
    client.close();
    const bool good = response.has_value() &&
                      Codec::responding_replica(*response) == target.id &&
                      response->result_int() == 200;
    if (!good)
    {
        co_return std::nullopt;
    }
    co_return Codec::decode_reply(std::move(*response));
}

} // namespace basilpath
