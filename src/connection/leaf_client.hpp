/// The connections to the leaves, through libcurl.
#pragma once

#include "connection/leaf_transport.hpp"
#include "version/ids.hpp"

#include <unordered_map>

namespace basilpath
{

/// Keeps one client with its own connections for each leaf address. libcurl
/// holds the client to the leaf's connection limit: when it is reached, an
/// idle connection is closed for a new one, or the request waits.
class leaf_client
{
public:
    explicit leaf_client(boost::asio::io_context& context);

    /// Sends a request whose `url` is a path at the leaf.
    boost::asio::awaitable<http_reply> send(const leaf_state& leaf,
                                            http_request request);

private:
    boost::asio::io_context& context;
    std::unordered_map<http_address, std::shared_ptr<http_client>> clients;
};

static_assert(leaf_transport<leaf_client>);

} // namespace basilpath
