/// Derives a host's reader role and member description from its settings.
#pragma once

#include "node/process/member.hpp"
#include "node/process/node_settings.hpp"
#include "node/process/store_reader.hpp"

#include <cstdint>

namespace basilpath
{

/// Returns how the host gets its first view: a seed reads the store at once, as
/// others contact it first; the rest wait for others to send the view.
[[nodiscard]] reader_role reader_role_of(const node_settings& settings);

/// Returns the host's own member description; `start` is a random number drawn
/// when the process starts.
[[nodiscard]] member make_own_member(const node_settings& settings,
                                     std::uint64_t start);

} // namespace basilpath
