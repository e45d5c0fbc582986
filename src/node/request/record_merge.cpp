#include "node/request/record_merge.hpp"

#include <algorithm>

namespace basilpath
{

std::string merge_records(const std::vector<std::string_view>& bodies,
                          std::size_t max_records)
{
    std::vector<std::string_view> records;
    for (const std::string_view body : bodies)
    {
        for (std::size_t at = 0; at + record_bytes <= body.size();
             at += record_bytes)
        {
            records.push_back(body.substr(at, record_bytes));
        }
    }
    const std::size_t count = std::min(max_records, records.size());
    // char_traits compares bytes as unsigned, which is the order of records.
    std::ranges::partial_sort(
        records, records.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater{});
    std::string merged;
    merged.reserve(count * record_bytes);
    for (std::size_t i = 0; i < count; ++i)
    {
        merged += records[i];
    }
    return merged;
}

std::string_view lowest_if_full(std::string_view merged,
                                std::size_t max_records)
{
    return max_records > 0 && merged.size() >= max_records * record_bytes
               ? merged.substr((max_records - 1) * record_bytes, record_bytes)
               : std::string_view{};
}

std::string records_above(std::string merged, std::string_view bound)
{
    std::size_t kept = 0;
    while (kept + record_bytes <= merged.size() &&
           std::string_view(merged).substr(kept, record_bytes) > bound)
    {
        kept += record_bytes;
    }
    merged.resize(kept);
    return merged;
}

} // namespace basilpath
