#include "request/answer_merger.hpp"

#include "version/index_version.hpp"
#include "version/service.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <map>
#include <utility>

namespace basilpath
{

namespace
{

using nlohmann::json;

// Returns the score by which an item is ordered; 0 when it has none.
double score_of(const json& item)
{
    const auto found = item.find("score");
    return found != item.end() && found->is_number() ? found->get<double>()
                                                     : 0.0;
}

// Tells whether a value is an array of objects.
bool is_item_array(const json& value)
{
    return value.is_array() &&
           std::ranges::all_of(value, [](const json& item)
                               { return item.is_object(); });
}

} // namespace

/// The items by shard, so that the order of arrival leaves no trace.
struct answer_merger::merged_items
{
    merge_rule rule = merge_rule::concatenate;
    std::size_t limit = 0;
    std::map<shard_number, json> by_shard;
};

answer_merger::answer_merger(const service& rules,
                             std::shared_ptr<const index_version> pinned,
                             std::vector<shard_number> wanted)
    : pinned(std::move(pinned)), wanted(std::move(wanted)),
      items(std::make_unique<merged_items>())
{
    assert(std::ranges::is_sorted(this->wanted));
    this->items->rule = rules.merge;
    this->items->limit = rules.item_limit;
}

answer_merger::~answer_merger() = default;

merge_outcome answer_merger::add(shard_number number, version_number version,
                                 std::string_view text)
{
    if (version != this->pinned->number)
    {
        return merge_outcome::wrong_version;
    }
    if (!std::ranges::binary_search(this->wanted, number))
    {
        return merge_outcome::unknown_shard;
    }
    if (this->items->by_shard.contains(number))
    {
        return merge_outcome::duplicate;
    }
    json parsed = json::parse(text, nullptr, false);
    if (!is_item_array(parsed))
    {
        return merge_outcome::malformed;
    }
    this->items->by_shard.emplace(number, std::move(parsed));
    return merge_outcome::merged;
}

bool answer_merger::complete() const
{
    return this->items->by_shard.size() == this->wanted.size();
}

std::vector<shard_number> answer_merger::missing() const
{
    std::vector<shard_number> absent;
    std::ranges::copy_if(this->wanted, std::back_inserter(absent),
                         [this](shard_number number)
                         { return !this->items->by_shard.contains(number); });
    return absent;
}

coverage answer_merger::covered() const
{
    if (this->complete())
    {
        return coverage(1.0);
    }
    double merged = 0.0;
    double total = 0.0;
    for (const shard_number number : this->wanted)
    {
        const double weight = this->pinned->shards.at(number.value).weight;
        total += weight;
        merged += this->items->by_shard.contains(number) ? weight : 0.0;
    }
    return coverage(total > 0.0 ? merged / total : 0.0);
}

void answer_merger::write(query_answer& answer) const
{
    std::vector<const json*> chosen;
    for (const auto& [number, array] : this->items->by_shard)
    {
        std::ranges::transform(array, std::back_inserter(chosen),
                               [](const json& item) { return &item; });
    }
    if (this->items->rule == merge_rule::top)
    {
        std::ranges::stable_sort(chosen, std::ranges::greater{},
                                 [](const json* item)
                                 { return score_of(*item); });
    }
    chosen.resize(std::min(chosen.size(), this->items->limit));
    answer.items = "[";
    for (const json* const item : chosen)
    {
        answer.items += answer.items.size() > 1 ? "," : "";
        answer.items +=
            item->dump(-1, ' ', false, json::error_handler_t::replace);
    }
    answer.items += "]";
    answer.covered = this->covered();
    answer.version = this->pinned->number;
    answer.shard_count = static_cast<std::uint32_t>(this->wanted.size());
    answer.missing = this->missing();
}

} // namespace basilpath
