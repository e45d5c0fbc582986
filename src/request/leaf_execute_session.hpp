/// A non-idempotent request: sent at most once.
#pragma once

#include "connection/wire.pb.h"
#include "process/relay_context.hpp"
#include "request/leaf_attempt.hpp"
#include "request/leaf_call.hpp"
#include "request/result_code.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace basilpath
{

struct shard;
struct index_version;

/// Runs one request to execute. It moves on to another replica only while it
/// is certain that no leaf has begun to run it, and uses a new connection, so
/// that libcurl cannot send it twice.
template <runtime Runtime, leaf_transport Transport>
class leaf_execute_session : public std::enable_shared_from_this<
                                 leaf_execute_session<Runtime, Transport>>
{
public:
    using context_type = relay_context<Runtime, Transport>;

    leaf_execute_session(context_type& context, wire::LeafExecute request);

    /// Runs the request and returns its result.
    boost::asio::awaitable<wire::LeafExecuteResult> run();

private:
    [[nodiscard]] std::optional<result_code> find_shard();
    boost::asio::awaitable<result_code> execute();
    boost::asio::awaitable<leaf_verdict> attempt(slot_lease<Runtime> slot);
    [[nodiscard]] leaf_attempt<Runtime> make_attempt() const;
    [[nodiscard]] std::vector<std::shared_ptr<leaf_state>> candidates() const;

    context_type& context;
    wire::LeafExecute request;
    instant deadline;
    std::shared_ptr<const index_version> version;
    std::vector<std::shared_ptr<leaf_state>> replicas;
    std::vector<leaf_id> tried;
    wire::LeafExecuteResult result;
};

/// The code of a request to execute whose last attempt ended so.
[[nodiscard]] result_code leaf_execute_code(leaf_verdict verdict);

} // namespace basilpath

#include "request/leaf_execute_session.ipp"
