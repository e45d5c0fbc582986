/// What the logs of the hosts tell of one request.
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

/// Collects the lines on one request, and what the hosts thought of the
/// replicas that it asked. Lines of one host must come in their order; hosts
/// may come in any order and their clocks may differ, as lines of one host are
/// ordered by its own clock only.
class request_timeline
{
public:
    explicit request_timeline(std::string request);

    /// Takes a line of `source`, a file for instance. The host is the one that
    /// the line names, or else the source.
    void add(const std::string& source, const log_line& line);

    /// Tells whether a line of the request has been seen.
    [[nodiscard]] bool found() const
    {
        return !this->decisions.empty() || !this->ends.empty();
    }

    /// The decisions in their order.
    [[nodiscard]] const std::vector<timeline_entry>& events() const
    {
        return this->decisions;
    }

    /// The lines that end the request, one a host that it came to.
    [[nodiscard]] const std::vector<timeline_entry>& outcomes() const
    {
        return this->ends;
    }

    /// What each host last noted of the replicas that were asked before the
    /// request ended, and first noted after it, by the host's own clock.
    [[nodiscard]] std::vector<timeline_entry> replica_events() const;

private:
    std::string request;
    std::vector<timeline_entry> decisions;
    std::vector<timeline_entry> ends;

    /// Lines on replicas; which of them matter is known at the end.
    std::vector<timeline_entry> on_replicas;
};

/// Why a request ended as it did on one host, in one sentence, from its
/// decisions there and the line that ends it.
[[nodiscard]] std::string cause_of(const request_timeline& timeline,
                                   const timeline_entry& outcome);

} // namespace basilpath
