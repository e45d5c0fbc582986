/// Settings of `basilpath-entry`.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace basilpath
{

/// The keys of the settings file with their defaults.
struct entry_settings
{
    std::string host;
    std::string region;
    std::string domain;
    std::string callers_listen;
    std::int64_t body_limit_bytes = 65'536;
    std::string peer_listen;
    std::string agent_address;
    std::int64_t drain_ms = 2'000;
    std::int64_t outcome_limit = 1'000'000;
    double burn_scale = 1.0;
    std::string log_level = "info";
};

/// Reads a settings file. Every fault is logged with file, line and key.
[[nodiscard]] std::optional<entry_settings>
read_entry_settings(const std::string& file);

} // namespace basilpath
