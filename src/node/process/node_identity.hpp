/// What the settings make of a host.
#pragma once

#include "node/process/member.hpp"
#include "node/process/node_settings.hpp"
#include "node/process/store_reader.hpp"

#include <cstdint>

namespace basilpath
{

/// Who reads the store at the start: a seed at once, as others ask it; the
/// rest after a wait in which others may bring the view.
[[nodiscard]] reader_role role_of(const node_settings& settings);

/// The host as it tells of itself; `start` is drawn when the process starts.
[[nodiscard]] member describe(const node_settings& settings,
                              std::uint64_t start);

} // namespace basilpath
