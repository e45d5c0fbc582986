/// The parts of one query that hosts of other failure domains gather.
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

/// A shard for which a replica of another failure domain was chosen.
struct remote_choice
{
    std::size_t shard = 0;
    leaf_id replica;
    failure_domain domain;
};

/// What is out at other hosts for one query, and the records that they sent.
/// The parts of a report are merged and cannot be taken apart, so each shard is
/// in at most one report with others.
class gather_delegations
{
public:
    /// A subquery with the shards of which nothing final has been told.
    struct sent_subquery
    {
        delegate to;

        /// Its parts come one by one.
        bool separate_reports = false;

        std::vector<std::size_t> open;
        bool reported = false;
    };

    /// A replica of another failure domain was chosen for a shard.
    void choose(remote_choice one)
    {
        this->chosen.push_back(std::move(one));
    }

    /// Takes out what was chosen since the last call, by failure domain.
    [[nodiscard]] std::map<failure_domain, std::vector<remote_choice>>
    take_chosen();

    void note_sent(subquery_number number, sent_subquery sent);

    /// The subquery of this number, or null.
    [[nodiscard]] const sent_subquery* find(subquery_number number) const;

    /// The subqueries that have told nothing final of this shard.
    [[nodiscard]] std::vector<subquery_number> of(std::size_t shard) const;

    /// Tells whether a report is about shards that the subquery has open.
    [[nodiscard]] bool fits(const subquery_report& report) const;

    /// A report has come.
    void note_reported(subquery_number number);

    /// Something final has been told of a shard. True when that was the last
    /// one of its subquery, which is then forgotten.
    bool settle(subquery_number number, std::size_t shard);

    /// Takes a subquery out, with the shards that it has open.
    [[nodiscard]] std::optional<sent_subquery> take(subquery_number number);

    /// The subqueries that have shards open.
    [[nodiscard]] const std::map<subquery_number, sent_subquery>& all() const
    {
        return this->sent;
    }

    /// Adds the records of a report.
    void add_records(std::string records)
    {
        this->merged.push_back(std::move(records));
    }

    /// The records of all reports.
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
