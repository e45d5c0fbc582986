/// Counts the requests that this host sends to replicas that name a limit.
#pragma once

#include "node/process/named_limits.hpp"
#include "node/request/target_call.hpp"
#include "version/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace basilpath
{

/// Names of the purposes, in the order of `call_purpose`.
inline constexpr std::array<std::string_view, 5> call_purpose_names{
    "first", "retry", "hedge", "delegated", "probe"};

/// Sends by purpose since the start, and by replica since the last report.
class limited_sends
{
public:
    using by_purpose = std::array<std::uint64_t, call_purpose_names.size()>;

    /// Sends since the last report, and the replica that got most in relation
    /// to its limit, which shows whether limits are kept.
    struct report
    {
        std::size_t replicas = 0;
        std::uint64_t sends = 0;
        leaf_id busiest;
        std::uint64_t busiest_sends = 0;
        request_rate busiest_rate;
    };

    void note(const leaf_id& replica, call_purpose purpose);

    [[nodiscard]] const by_purpose& total() const
    {
        return this->totals;
    }

    /// Returns the sends since the last call to replicas that still name a
    /// limit.
    [[nodiscard]] report take_report(const named_limits& limits, instant now);

private:
    by_purpose totals{};
    std::map<leaf_id, std::uint64_t> recent;
};

} // namespace basilpath
