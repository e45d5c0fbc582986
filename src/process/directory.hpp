/// The directory: which entry hosts a caller should use, and for how long.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace basilpath
{

struct system_state;

/// What a caller says of itself when it asks for the directory.
struct directory_query
{
    failure_domain domain;
    service_name service;
};

/// One entry host of a directory and its share of the caller's requests.
struct directory_host
{
    http_address address;
    double weight = 1.0;
};

/// A directory answer.
struct directory
{
    std::vector<directory_host> hosts;

    /// How long the caller keeps the answer; spread, so that callers do not
    /// come back together.
    milliseconds keep{0};

    /// Home tokens of the host that answers.
    std::vector<std::string> tokens;
};

/// Most hosts in one directory.
inline constexpr std::size_t directory_size = 4;

/// Chooses hosts for a caller. `load` is the share of its capacity that a host
/// uses, 0 for hosts of which nothing is known; `random` returns 64 random
/// bits. Leaving and dead hosts are not named while another is left.
[[nodiscard]] directory
choose_directory(const system_state& state, const directory_query& query,
                 const std::map<host_id, double>& load,
                 const std::function<std::uint64_t()>& random);

/// The directory as the JSON object that callers get.
[[nodiscard]] std::string to_json_text(const directory& answer);

/// Reads the query string of a request for the directory.
[[nodiscard]] directory_query parse_directory_query(const std::string& query);

} // namespace basilpath
