/// Timeline of one request from the logs of the hosts.
#pragma once

#include "process/log_line.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace basilpath
{

/// One line of the log of one host.
struct timeline_entry
{
    std::string host;
    log_line line;
};

/// Collects the log lines of one request and those on the replicas that it was
/// sent to. Lines of one host must be added in their order. Hosts may be added
/// in any order and their clocks may differ, as lines of one host are ordered
/// by its own clock only.
class request_timeline
{
public:
    explicit request_timeline(std::string request);

    /// Adds a line of `source`, for instance a file. The host is the one that
    /// the line names, or else the source.
    void add(const std::string& source, const log_line& line);

    /// Returns whether a line of the request has been added.
    [[nodiscard]] bool found() const
    {
        return !this->decisions.empty() || !this->ends.empty();
    }

    /// Returns the decisions in the order in which they were added.
    [[nodiscard]] const std::vector<timeline_entry>& events() const
    {
        return this->decisions;
    }

    /// Returns the lines that end the request, one per host that received it.
    [[nodiscard]] const std::vector<timeline_entry>& outcomes() const
    {
        return this->ends;
    }

    /// Returns, for each host and each replica that the request was sent to,
    /// the last line on the replica up to the end of the request and the first
    /// one after it, by the host's own clock.
    [[nodiscard]] std::vector<timeline_entry> replica_events() const;

private:
    std::string request;
    std::vector<timeline_entry> decisions;
    std::vector<timeline_entry> ends;

    /// Lines on any replica; `replica_events` selects those of the request.
    std::vector<timeline_entry> on_replicas;
};

/// Returns the outcome that a line which ends a request names; `not_logged` for
/// a line on requests that were left out of the log.
[[nodiscard]] std::string outcome_of(const log_line& line);

/// Returns in one sentence why a request ended as it did on one host, from its
/// decisions there and the line that ends it.
[[nodiscard]] std::string cause_of(const request_timeline& timeline,
                                   const timeline_entry& outcome);

} // namespace basilpath
