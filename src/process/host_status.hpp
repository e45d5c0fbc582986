/// What one entry process says of itself and of the system.
#pragma once

#include "version/ids.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

struct system_state;

/// Body of `GET /v1/status`.
struct host_status
{
    std::string host;
    milliseconds uptime{0};

    /// Whether the process takes no new callers and finishes what it has.
    bool draining = false;

    /// Requests of callers in progress.
    std::uint64_t in_flight = 0;

    /// Document in force; number 0 when there is none.
    std::string deployment;
    document_number document;
    document_digest digest;

    /// Time since the document took force here.
    milliseconds document_age{0};

    /// Revisions of the lists; 0 when a list is not known.
    std::uint64_t targets_revision = 0;
    std::uint64_t hosts_revision = 0;

    std::vector<std::string> leaving_hosts;
    std::vector<std::string> dead_hosts;
    std::vector<std::string> leaving_leaves;

    /// Fingerprints in quarantine, as hexadecimal digits.
    std::vector<std::string> quarantines;

    /// Other figures by name, e.g. slots or budgets.
    std::map<std::string, double> figures;

    bool operator==(const host_status&) const = default;
};

/// Fills in what follows from the state in force.
void fill_from_state(host_status& status, const system_state& state);

/// Writes a status as JSON.
[[nodiscard]] nlohmann::json to_json(const host_status& status);

/// Reads a status that `to_json` wrote, of this or another release; nothing
/// when it is not of that form.
[[nodiscard]] std::optional<host_status>
host_status_from_json(const nlohmann::json& value);

} // namespace basilpath
