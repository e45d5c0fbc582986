/// MessagePack encoding of messages between hosts.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

[[nodiscard]] std::string encode_message(const nlohmann::json& message);

/// Returns null when `bytes` is not MessagePack, or nests deeper than any valid
/// message: a recursive parser would overflow the stack on it.
[[nodiscard]] std::optional<nlohmann::json>
decode_message(std::string_view bytes);

/// Decodes `bytes` with `reader`, which takes a `json`. Returns null when a
/// field is missing or has the wrong type, which the JSON library reports by an
/// exception.
template <class Result, class Reader>
std::optional<Result> decode_as(std::string_view bytes, Reader reader)
{
    const std::optional<nlohmann::json> message = decode_message(bytes);
    if (!message)
    {
        return std::nullopt;
    }
    try
    {
        return reader(*message);
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace basilpath
