/// What an agent tells its host's processes and operators of its state.
#pragma once

#include "connection/wire.pb.h"
#include "process/soft_state.hpp"

#include <cstdint>
#include <string>

namespace basilpath
{

class gossip_state;

/// The state in force as it is told to the processes of the host.
[[nodiscard]] wire::State describe_state(const gossip_state& state,
                                         soft_state::time_point now);

/// A JSON object with what the agent holds, and its counters.
[[nodiscard]] std::string describe_status(const gossip_state& state,
                                          std::size_t neighbours,
                                          std::size_t subscribers,
                                          std::uint64_t platform_calls);

} // namespace basilpath
