/// Where a query over shards stands, and what that allows.
#pragma once

#include "node/request/gather_shard.hpp"
#include "node/version/route.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace basilpath
{

/// Counts parts and failures of one query. Holds the decisions that depend on
/// more than one shard, apart from the calls themselves. Answers two loads:
/// replicas that lose answers, of which calls are made again, and a query that
/// brings replicas down, which must not be sent to more of them.
class gather_progress
{
public:
    explicit gather_progress(const route& rule);

    [[nodiscard]] gather_shard& shard(std::size_t number)
    {
        return this->shards[number];
    }

    [[nodiscard]] std::span<const gather_shard> all() const
    {
        return this->shards;
    }

    /// Shards of which no part is in.
    [[nodiscard]] std::size_t missing() const
    {
        return this->shards.size() - this->parts;
    }

    /// The least number of parts that makes an answer.
    [[nodiscard]] std::size_t needed() const
    {
        return this->needed_parts;
    }

    /// The parts that are in make an answer.
    [[nodiscard]] bool enough() const
    {
        return this->parts >= this->needed_parts;
    }

    /// No shard is open any more.
    [[nodiscard]] bool settled() const
    {
        return this->parts + this->failures == this->shards.size();
    }

    /// So many shards have failed that there will be no answer.
    [[nodiscard]] bool coverage_unreachable() const
    {
        return this->shards.size() - this->failures < this->needed_parts;
    }

    /// Some replica has run the query or may have.
    [[nodiscard]] bool may_have_run() const;

    /// The query may be what breaks calls: several broke, none was answered.
    [[nodiscard]] bool suspect() const;

    /// A further replica of the shard may be asked as far as the route goes.
    [[nodiscard]] bool may_retry(const gather_shard& one) const;

    /// A shard that is slow may be asked a second time.
    [[nodiscard]] bool may_hedge(const gather_shard& one) const;

    /// When the next shard is asked a second time; nothing when none is.
    [[nodiscard]] std::optional<instant> next_hedge() const;

    /// How long the calls of most shards waited here before they left. A few
    /// shards whose replicas pause do not count.
    [[nodiscard]] microseconds usual_wait(instant now) const;

    /// The part of a shard is in.
    void take_part(gather_shard& one, target_reply reply);

    /// A call broke, whichever shard it was for.
    void note_broken(const leaf_id& replica)
    {
        this->broken_calls.push_back(replica);
    }

    /// Replicas whose calls broke.
    [[nodiscard]] const std::vector<leaf_id>& broken() const
    {
        return this->broken_calls;
    }

    /// Counts the shard as failed when it has no part and no call is left that
    /// could bring one.
    void fail_if_idle(gather_shard& one);

    /// Takes out the shards that were held and are not any more, as a part has
    /// come or no call is left that could bring one.
    [[nodiscard]] std::vector<std::size_t> release_held();

private:
    std::vector<gather_shard> shards;
    std::size_t needed_parts;
    std::size_t most_sends;
    std::size_t parts = 0;
    std::size_t failures = 0;
    std::vector<leaf_id> broken_calls;
};

} // namespace basilpath
