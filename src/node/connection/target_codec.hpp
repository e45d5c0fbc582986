/// The interface between the transport and the protocol of the targets.
#pragma once

#include "node/connection/http_types.hpp"
#include "node/request/target_call.hpp"

#include <concepts>
#include <string>

namespace basilpath
{

/// Encodes calls to replicas, decodes their answers, and extracts the id of the
/// replica from its answer to a health check.
template <class Codec>
concept target_codec = requires(const target_call& call, milliseconds timeout,
                                http_response response) {
    {
        Codec::encode_call(call, timeout)
    } -> std::same_as<std::string>;
    {
        Codec::decode_reply(std::move(response))
    } -> std::same_as<target_reply>;
    {
        Codec::responding_replica(response)
    } -> std::same_as<std::optional<leaf_id>>;
};

} // namespace basilpath
