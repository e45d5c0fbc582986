/// What sessions need to call leaves.
#pragma once

#include "connection/http_client.hpp"

#include <concepts>

namespace basilpath
{

class leaf_state;

/// Runs one HTTP request at a leaf. Never holds more connections to a leaf
/// than its `connection_limit`.
template <class Transport>
concept leaf_transport =
    requires(Transport& t, const leaf_state& leaf, http_request request) {
        {
            t.send(leaf, std::move(request))
        } -> std::same_as<boost::asio::awaitable<http_reply>>;
    };

} // namespace basilpath
