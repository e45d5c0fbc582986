/// Counts bytes between failure domains by purpose.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace basilpath
{

/// Purpose of bytes between hosts, or between a host and a replica.
enum class traffic_purpose : std::uint8_t
{
    calls,      ///< requests to replicas and their answers
    subqueries, ///< subqueries to hosts of other domains and their reports
    membership, ///< datagrams: probes, gossip, small changes of the view
    views       ///< views fetched in full or in part
};

inline constexpr std::array<std::string_view, 4> traffic_purpose_names = {
    "calls", "subqueries", "membership", "views"};

/// Counts the payload that this host sends to other failure domains and that it
/// receives from replicas there. Payload from other hosts is counted by its
/// sender.
class traffic_meter
{
public:
    void add(traffic_purpose purpose, std::size_t bytes)
    {
        this->bytes.at(static_cast<std::size_t>(purpose)) += bytes;
    }

    [[nodiscard]] std::uint64_t total(traffic_purpose purpose) const
    {
        return this->bytes.at(static_cast<std::size_t>(purpose));
    }

private:
    std::array<std::uint64_t, traffic_purpose_names.size()> bytes{};
};

} // namespace basilpath
