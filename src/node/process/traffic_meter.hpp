/// Bytes between failure domains by what they are for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace basilpath
{

/// What bytes between hosts, or between a host and a replica, are for.
enum class traffic_purpose : std::uint8_t
{
    calls,      ///< requests to replicas and their answers
    subqueries, ///< what hosts of other domains gather
    membership, ///< datagrams: probes, news of hosts, changes of the view
    views       ///< views that are fetched whole or in part
};

inline constexpr std::array<std::string_view, 4> traffic_names = {
    "calls", "subqueries", "membership", "views"};

/// Counts the payload of what this host sent to other failure domains, and of
/// what it received from replicas there. What it received from other hosts they
/// have counted.
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
    std::array<std::uint64_t, traffic_names.size()> bytes{};
};

} // namespace basilpath
