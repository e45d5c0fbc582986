/// The outcome of one request as its caller observes it.
#pragma once

#include "connection/http_client.hpp"
#include "load/arrival.hpp"

#include <optional>
#include <vector>

namespace basilpath::load
{

/// Shard and version of an item, as the leaf wrote them into the item.
struct item_origin
{
    shard_number shard;
    version_number version;

    auto operator<=>(const item_origin&) const = default;
};

/// One answer, or the transport failure in its place.
struct caller_answer
{
    /// Time since the start of the run.
    microseconds received{0};

    std::string host;
    http_outcome transport = http_outcome::connect_failed;

    /// Number of the result code; nullopt if no answer could be parsed.
    std::optional<std::uint32_t> code;

    /// Name that the request was sent with, and the name in the answer.
    std::string sent_name;
    std::string request;

    double reported_coverage = 0.0;
    version_number version;
    std::vector<shard_number> missing;

    /// Distinct origins of the items, sorted.
    std::vector<item_origin> origins;
    std::size_t items = 0;

    /// Number of items that belong to another query.
    std::size_t foreign_items = 0;

    bool operator==(const caller_answer&) const = default;
};

/// One request and all answers to it.
struct request_outcome
{
    arrival scheduled;
    std::string request;

    /// Delay of the first send after the scheduled time.
    microseconds send_delay{0};

    /// Answers in the order of receipt.
    std::vector<caller_answer> answers;

    /// Number of times that the request was sent.
    std::size_t sends = 0;

    /// Returns the first served answer, or else the last; null if there is
    /// none.
    [[nodiscard]] const caller_answer* final_answer() const;

    /// Time from the scheduled time to the final answer; zero without one.
    [[nodiscard]] microseconds latency() const;

    /// Returns whether a complete answer arrived within `deadline`.
    [[nodiscard]] bool served(milliseconds deadline) const;
};

/// Returns whether a code stands for a served request, complete or partial.
[[nodiscard]] bool is_served(std::optional<std::uint32_t> code);

} // namespace basilpath::load
