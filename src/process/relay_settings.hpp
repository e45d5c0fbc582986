/// Settings of basilpath-relay.
#pragma once

#include "process/relay_policy.hpp"

#include <string>

namespace basilpath
{

/// What the settings file of a relay says.
struct relay_settings
{
    std::string host;
    std::string region;
    std::string domain;

    /// `ip:port` at which other processes are heard.
    std::string peer_listen = "127.0.0.1:0";

    /// `ip:port` of the agent of this host.
    std::string agent;

    /// `ip:port` of metrics and health; empty for none.
    std::string http_listen;

    std::string log_level = "info";
    relay_policy policy;
};

/// Reads a file; false after every fault has been logged.
bool read_relay_settings(const std::string& file, relay_settings& settings);

} // namespace basilpath
