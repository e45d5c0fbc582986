/// The subqueries of one query that hosts in other failure domains run.
#pragma once

#include "node/process/delegate_pool.hpp"
#include "node/request/subquery.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// A shard for which a replica in another failure domain was chosen.
struct remote_choice
{
    std::size_t shard = 0;
    leaf_id replica;
    failure_domain domain;
};

/// The pending subqueries of one query at other hosts, and the records that
/// these hosts reported. A report merges the records of its parts and cannot be
/// split again, so each shard is in at most one report with several parts.
class gather_delegations
{
public:
    /// A subquery and its shards without a final report.
    struct sent_subquery
    {
        delegate to;

        /// Each part arrives in a report of its own.
        bool separate_reports = false;

        std::vector<std::size_t> open;
        bool reported = false;
    };

    /// Adds a replica in another failure domain that was chosen for a shard.
    void choose(remote_choice one)
    {
        this->chosen.push_back(std::move(one));
    }

    /// Removes and returns the choices made since the last call, by failure
    /// domain.
    [[nodiscard]] std::map<failure_domain, std::vector<remote_choice>>
    take_chosen();

    void note_sent(subquery_number number, sent_subquery sent);

    /// The subquery with this number, or null.
    [[nodiscard]] const sent_subquery* find(subquery_number number) const;

    /// The subqueries without a final report on this shard.
    [[nodiscard]] std::vector<subquery_number>
    open_for(std::size_t shard) const;

    /// Returns whether a report names only open shards of a pending subquery.
    [[nodiscard]] bool matches(const subquery_report& report) const;

    void note_reported(subquery_number number);

    /// Closes a shard after its final report. Returns true and removes the
    /// subquery when this was its last open shard.
    bool settle(subquery_number number, std::size_t shard);

    /// Removes and returns a subquery with its open shards; nothing when the
    /// number is unknown.
    [[nodiscard]] std::optional<sent_subquery> take(subquery_number number);

    /// The subqueries with open shards.
    [[nodiscard]] const std::map<subquery_number, sent_subquery>& all() const
    {
        return this->sent;
    }

    /// Adds the merged records of a report.
    void add_records(std::string records)
    {
        this->merged.push_back(std::move(records));
    }

    /// The merged records of all reports, one string for each.
    [[nodiscard]] const std::vector<std::string>& records() const
    {
        return this->merged;
    }

private:
    std::vector<remote_choice> chosen;
    std::map<subquery_number, sent_subquery> sent;
    std::vector<std::string> merged;
};

} // namespace basilpath
