/// How far the query of one shard has come.
#pragma once

#include "request/result_code.hpp"
#include "version/ids.hpp"
#include "version/ownership.hpp"

#include <optional>

namespace basilpath
{

/// Where a shard is asked and what came of it.
struct shard_progress
{
    shard_number number;

    /// Owners in order; `owner` is the place of the one that was asked last.
    const owner_ranking* owners = nullptr;
    std::size_t owner = 0;

    /// Host that works on the shard; null when none does.
    const host* asked = nullptr;

    /// When it was asked, after the arrival of the request.
    microseconds asked_at{0};

    /// Time that the result spent waiting rather than being made.
    microseconds waited{0};

    /// Number of the message that asked it.
    std::uint32_t attempt = 0;

    bool merged = false;

    /// Why the shard will not be in the answer.
    std::optional<result_code> failure;

    /// Whether a target may have run the query for this shard.
    bool may_have_run = false;

    /// Tells whether nothing more is to come.
    [[nodiscard]] bool settled() const
    {
        return this->merged || this->failure.has_value();
    }
};

} // namespace basilpath
