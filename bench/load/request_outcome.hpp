/// What a caller saw of one request.
#pragma once

#include "connection/http_client.hpp"
#include "load/arrival.hpp"

#include <optional>
#include <vector>

namespace basilpath::load
{

/// Where an item of an answer came from, as the leaf says in the item.
struct item_origin
{
    shard_number shard;
    version_number version;

    auto operator<=>(const item_origin&) const = default;
};

/// One answer, or what came in its place.
struct caller_answer
{
    /// Time since the start of the run.
    microseconds received{0};

    std::string host;
    http_outcome transport = http_outcome::connect_failed;

    /// Number of the result code; nothing when no answer could be read.
    std::optional<std::uint32_t> code;

    /// Name that the request was sent with, and the one that came back.
    std::string asked;
    std::string request;

    double reported_coverage = 0.0;
    version_number version;
    std::vector<shard_number> missing;

    /// Origins of the items, each once, in order.
    std::vector<item_origin> origins;
    std::size_t items = 0;

    /// Items that are not those of the request's own query.
    std::size_t foreign_items = 0;

    bool operator==(const caller_answer&) const = default;
};

/// One request and all answers to it.
struct request_outcome
{
    arrival scheduled;
    std::string request;

    /// How long after its scheduled time the request was first sent.
    microseconds sent_late{0};

    /// Answers in the order in which they came.
    std::vector<caller_answer> answers;

    /// Times that the request was sent.
    std::size_t sends = 0;

    /// The answer that counts for the caller: the first that was served, else
    /// the last; null when none came.
    [[nodiscard]] const caller_answer* decisive() const;

    /// Time from the scheduled time to the decisive answer.
    [[nodiscard]] microseconds latency() const;

    /// Whether the whole answer came within `deadline`.
    [[nodiscard]] bool served(milliseconds deadline) const;
};

/// Tells whether a code is one of a served request, complete or not.
[[nodiscard]] bool is_served(std::optional<std::uint32_t> code);

} // namespace basilpath::load
