/// Counts how often the leaves run each non-idempotent request.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basilpath::standin
{

/// Counters of one idempotency key, summed over all leaves.
struct execution
{
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;

    /// Time of the first start; none before it.
    std::optional<std::chrono::steady_clock::time_point> first_start;
};

/// Execution counters by idempotency key.
class execution_log
{
public:
    void receive(const std::string& key);

    /// Counts a start and returns the number of starts of the key so far.
    std::uint64_t start(const std::string& key,
                        std::chrono::steady_clock::time_point now);

    void finish(const std::string& key);

    void reset();

    [[nodiscard]] const std::map<std::string, execution>& entries() const;

private:
    std::map<std::string, execution> by_key;
};

} // namespace basilpath::standin
