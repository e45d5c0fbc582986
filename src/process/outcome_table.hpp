/// What a home remembers of the non-idempotent requests it has run.
#pragma once

#include "request/query_answer.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilpath
{

/// What a key's lookup found.
enum class key_state : std::uint8_t
{
    started,     ///< the key was new and is now in progress
    in_progress, ///< another request with this key is running
    finished,    ///< the outcome is known
    other_body,  ///< the key was used with another body
    full,        ///< there is no room for another key
    expired      ///< the key is new and its token is past its time
};

/// Outcomes by idempotency key. A key is kept until its time to keep has
/// passed and is never dropped to make room. Times are those of one monotonic
/// clock.
class outcome_table
{
public:
    explicit outcome_table(std::size_t limit);

    /// Looks a key up and starts it when it is new, its token is good at `now`
    /// and there is room. The key is kept until the latest `keep_until` given.
    key_state start(const std::string& key, fingerprint print,
                    microseconds good_until, microseconds keep_until,
                    microseconds now);

    /// The outcome of a finished key; null when it is not finished.
    [[nodiscard]] const query_answer* outcome(const std::string& key) const;

    /// Runs `action` when the key in progress finishes or is withdrawn.
    void wait(const std::string& key, std::function<void()> action);

    /// Notes the outcome of a key, also in place of an earlier one.
    void finish(const std::string& key, query_answer outcome);

    /// Forgets a key that is certain not to have run.
    void withdraw(const std::string& key);

    [[nodiscard]] std::size_t size() const;

private:
    /// One key. Waiters are told once, when the key finishes.
    struct entry
    {
        fingerprint print;
        microseconds keep_until{0};
        std::optional<query_answer> outcome;
        std::vector<std::function<void()>> waiters;
    };

    /// When a key may be forgotten.
    struct expiry
    {
        microseconds at{0};
        std::string key;
    };

    void keep(const std::string& key, entry& kept, microseconds until);
    void forget_old(microseconds now);

    std::size_t limit;
    std::unordered_map<std::string, entry> entries;
    std::deque<expiry> expiries;
};

} // namespace basilpath
