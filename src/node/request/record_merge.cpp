#include "node/request/record_merge.hpp"

#include <algorithm>

namespace basilpath
{

std::string merge_records(const std::vector<std::string_view>& bodies,
                          std::size_t most)
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
    const std::size_t count = std::min(most, records.size());
    // char_traits compares as unsigned bytes, which is the order wanted.
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

std::string_view least_of_full(std::string_view merged, std::size_t most)
{
    return most > 0 && merged.size() >= most * record_bytes
               ? merged.substr((most - 1) * record_bytes, record_bytes)
               : std::string_view{};
}

std::string greater_records(std::string merged, std::string_view bound)
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
