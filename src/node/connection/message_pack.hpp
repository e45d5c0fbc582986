/// Messages between hosts as MessagePack.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

/// The bytes of a message.
[[nodiscard]] std::string pack(const nlohmann::json& message);

/// The message of these bytes; nothing when they are not one, or nest deeper
/// than any message of ours, as a reader that recurses would run out of stack.
[[nodiscard]] std::optional<nlohmann::json>
unpack_message(std::string_view bytes);

/// Reads a message with `reader`, which takes a `json`; nothing when a field is
/// missing or of another type, which the JSON library tells by an exception.
template <class Result, class Reader>
std::optional<Result> unpack(std::string_view bytes, Reader reader)
{
    const std::optional<nlohmann::json> message = unpack_message(bytes);
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
