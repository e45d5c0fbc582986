/// What changes from one document to another, by meaning.
#pragma once

#include <string>
#include <vector>

namespace basilpath
{

struct document;

/// One change. `before` or `after` is empty when something is added or
/// removed.
struct document_change
{
    /// Service that the change belongs to; empty for the whole deployment.
    std::string service;

    /// What changes, e.g. `class valuation deadline_ms`.
    std::string subject;

    std::string before;
    std::string after;

    /// What the change does to queries, connections or targets.
    std::string effect;

    bool operator==(const document_change&) const = default;
};

/// Lists the changes, those of the deployment first, then by service. Two
/// documents that differ only in comments, order or spelling give none besides
/// their numbers.
[[nodiscard]] std::vector<document_change> diff_documents(const document& from,
                                                          const document& to);

} // namespace basilpath
