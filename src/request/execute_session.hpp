/// A request to execute on its way from the host that received it to its home.
#pragma once

#include "process/home.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace basilpath
{

/// Hands a non-idempotent request to its home, here or on another host, and
/// returns what the home answers. Never says "not run" of a request that it
/// has lost sight of. Keeps itself alive while it runs.
template <runtime Runtime, peer_transport Transport>
class execute_session
    : public std::enable_shared_from_this<execute_session<Runtime, Transport>>
{
public:
    using context = entry_context<Runtime, Transport>;
    using home_type = home<Runtime, Transport>;
    using time_point = typename Runtime::clock::time_point;

    execute_session(std::shared_ptr<context> shared,
                    std::shared_ptr<home_type> own_home, caller_request request,
                    time_point arrived);

    /// Runs the request to its end.
    boost::asio::awaitable<query_answer> run();

private:
    boost::asio::awaitable<query_answer> forward(const host& to);
    query_answer plain(result_code code) const;

    std::shared_ptr<context> shared;
    std::shared_ptr<home_type> own_home;
    caller_request request;
    time_point arrived;
    request_id own_id;
};

} // namespace basilpath
