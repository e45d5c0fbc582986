#include "node/request/gather_delegations.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

std::map<failure_domain, std::vector<remote_choice>>
gather_delegations::take_chosen()
{
    std::map<failure_domain, std::vector<remote_choice>> result;
    for (remote_choice& one : std::exchange(this->chosen, {}))
    {
        result[one.domain].push_back(std::move(one));
    }
    return result;
}

void gather_delegations::note_sent(subquery_number number, sent_subquery sent)
{
    this->sent.emplace(number, std::move(sent));
}

const gather_delegations::sent_subquery*
gather_delegations::find(subquery_number number) const
{
    const auto found = this->sent.find(number);
    return found == this->sent.end() ? nullptr : &found->second;
}

std::vector<subquery_number> gather_delegations::of(std::size_t shard) const
{
    std::vector<subquery_number> numbers;
    for (const auto& [number, one] : this->sent)
    {
        if (std::ranges::find(one.open, shard) != one.open.end())
        {
            numbers.push_back(number);
        }
    }
    return numbers;
}

bool gather_delegations::fits(const subquery_report& report) const
{
    const sent_subquery* const one = this->find(report.number);
    const auto is_open = [one](std::size_t shard)
    {
        return std::ranges::find(one->open, shard) != one->open.end();
    };
    return one &&
           std::ranges::all_of(report.parts, is_open, &reported_part::shard) &&
           std::ranges::all_of(report.missing_shards, is_open,
                               &missing_shard::shard);
}

void gather_delegations::note_reported(subquery_number number)
{
    const auto found = this->sent.find(number);
    if (found != this->sent.end())
    {
        found->second.reported = true;
    }
}

bool gather_delegations::settle(subquery_number number, std::size_t shard)
{
    const auto found = this->sent.find(number);
    if (found == this->sent.end())
    {
        return false;
    }
    std::erase(found->second.open, shard);
    if (!found->second.open.empty())
    {
        return false;
    }
    this->sent.erase(found);
    return true;
}

std::optional<gather_delegations::sent_subquery>
gather_delegations::take(subquery_number number)
{
    const auto found = this->sent.find(number);
    if (found == this->sent.end())
    {
        return std::nullopt;
    }
    sent_subquery taken = std::move(found->second);
    this->sent.erase(found);
    return taken;
}

} // namespace basilpath
