/// How many requests may be sent to a service a second time.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace basilpath
{

/// The bound that all hosts keep together: in any window, sends beyond the
/// first are at most `ratio` of the requests plus `slack`.
struct repeat_bound
{
    double ratio = 0.2;
    double slack = 10.0;
    milliseconds window{10'000};
};

/// Why a request is sent again.
enum class repeat_kind : std::uint8_t
{
    retry, ///< a call failed; without another its part is lost
    hedge  ///< a call is slow; without another its part may be late
};

/// This host's part of the bound. It spends the ratio of its own requests and
/// an equal share of the slack, so that the sum over hosts stays within the
/// bound whatever each of them sees. Answers the load in which many replicas
/// fail at once and every request wants a second try.
class retry_budget
{
public:
    explicit retry_budget(repeat_bound bound) : bound(bound) {}

    /// Takes another bound; what was spent still counts.
    void set_bound(repeat_bound wanted)
    {
        this->bound = wanted;
    }

    /// Takes the number of hosts that share the slack.
    void set_host_count(std::size_t hosts);

    /// Notes a caller's request for a service.
    void note_request(const service_name& service, instant now);

    /// Spends one repeat; false when none is left. Hedges leave as many as
    /// retries have wanted in the last window.
    [[nodiscard]] bool try_spend(const service_name& service, instant now,
                                 repeat_kind kind = repeat_kind::retry);

    /// Repeats that could be spent now.
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
        std::uint32_t wanted_retries = 0;
    };

    using history = std::array<slice, slices + 1>;

    slice& current(const service_name& service, instant now);
    [[nodiscard]] double allowed(const history& past,
                                 std::int64_t number) const;

    repeat_bound bound;
    double slack_share = 1.0;
    std::map<service_name, history> services;
};

} // namespace basilpath
