/// One attempt at one leaf, from the sending to what the reply tells.
#pragma once

#include "process/relay_context.hpp"
#include "request/leaf_call.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace basilpath
{

/// An attempt and the slot it holds.
template <runtime Runtime>
struct leaf_attempt
{
    leaf_call call;
    fingerprint print;
    standing sent_as = standing::proven;

    /// The replicas of the shard, with which the leaf is compared.
    std::vector<std::shared_ptr<leaf_state>> replicas;

    /// How long the reply is awaited.
    microseconds timeout{0};
};

/// Sends an attempt and returns its judged reply. The slot is held until the
/// reply has come, also when nobody waits for it any more. What the reply
/// tells of the leaf, the service and the fingerprint is noted in the context.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<leaf_answer>
run_leaf_attempt(relay_context<Runtime, Transport>& context,
                 leaf_attempt<Runtime> attempt, slot_lease<Runtime> slot);

/// Tells the leaf that the reply to a call is no longer wanted.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
cancel_leaf_call(relay_context<Runtime, Transport>& context, leaf_call call,
                 std::shared_ptr<leaf_state> leaf);

} // namespace basilpath

#include "request/leaf_attempt.ipp"
