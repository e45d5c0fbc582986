/// Limits how many requests to a service are sent a second time.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace basilpath
{

/// Bound over all hosts together: in any window, sends beyond the first are at
/// most `ratio` of the requests plus `slack`.
struct repeat_bound
{
    double ratio = 0.2;
    double slack = 10.0;
    milliseconds window{10'000};
};

/// Reason for sending a request again.
enum class repeat_kind : std::uint8_t
{
    retry, ///< the call failed; without a retry its part is lost
    hedge  ///< the call is slow; without a hedge its part may be late
};

/// This host's part of the bound: `ratio` of its own requests and its share of
/// the slack (`slack_division`), so that the sum over all hosts stays within
/// the bound whatever each of them observes. Needed when many replicas fail at
/// once and every request requires a retry.
class retry_budget
{
public:
    explicit retry_budget(repeat_bound bound) : bound(bound) {}

    /// Replaces the bound; repeats already spent still count.
    void set_bound(repeat_bound new_bound)
    {
        this->bound = new_bound;
    }

    /// Sets this host's share of the slack, as a fraction.
    void set_slack_share(double share);

    /// Counts a caller's request for a service.
    void note_request(const service_name& service, instant now);

    /// Spends one repeat; false when none is left. Hedges leave as many as
    /// retries requested in the last window.
    [[nodiscard]] bool try_spend(const service_name& service, instant now,
                                 repeat_kind kind = repeat_kind::retry);

    /// Returns the number of repeats available now.
    [[nodiscard]] double left(const service_name& service, instant now);

private:
    static constexpr std::size_t slices = 20;

    /// Requests and repeats of one slice of the window.
    struct slice
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
        std::uint32_t hedges = 0;

        /// Retries that were spent or refused.
        std::uint32_t requested_retries = 0;
    };

    using history = std::array<slice, slices + 1>;

    slice& current_slice(const service_name& service, instant now);
    [[nodiscard]] double allowed_repeats(const history& past,
                                         std::int64_t number) const;

    repeat_bound bound;
    double slack_share = 0.0;
    std::map<service_name, history> services;
};

} // namespace basilpath
