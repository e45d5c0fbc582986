/// Finding replicas that are slower than their peers.
#pragma once

#include "process/instant.hpp"

#include <memory>
#include <span>

namespace basilpath
{

class leaf_state;

/// What a judgment has changed.
enum class slowness_change : std::uint8_t
{
    none,
    put_aside,
    taken_back
};

/// Compares a leaf with the other replicas of a shard over the last seconds
/// and puts it aside or takes it back. At most half of the replicas are aside
/// at any time, and none when all are equally slow. A leaf that is aside and
/// was not probed lately is taken to be as slow as it was.
slowness_change
judge_slowness(leaf_state& subject,
               std::span<const std::shared_ptr<leaf_state>> replicas,
               instant now);

} // namespace basilpath
