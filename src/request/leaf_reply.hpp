/// Reading the body of a leaf's reply without building a tree of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace basilpath
{

/// What a served reply says.
struct leaf_reply
{
    std::string request;
    std::uint64_t attempt = 0;
    std::string service;
    std::uint64_t version = 0;
    std::uint64_t shard = 0;

    /// The JSON array of items, as the leaf wrote it.
    std::string items;
};

/// Reads and checks the whole body; nothing when it is not of the documented
/// form.
[[nodiscard]] std::optional<leaf_reply>
read_leaf_reply(const std::string& body);

} // namespace basilpath
