/// Asking several hosts the same question over HTTP.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace basilpath
{

/// What one host answered.
struct host_reply
{
    /// `ip:port` that was asked.
    std::string address;

    /// HTTP status; 0 when the host was lost.
    int status = 0;

    std::string body;

    /// Why the host is lost; empty when it answered.
    std::string lost;
};

/// Asks all hosts at once and returns their replies in the order given, after
/// at most the timeout.
[[nodiscard]] std::vector<host_reply>
fetch_from_hosts(const std::vector<std::string>& addresses,
                 const std::string& path, std::chrono::milliseconds timeout);

} // namespace basilpath
