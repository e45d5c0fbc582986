/// Which non-idempotent requests the leaves have run, and how often.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basilpath::standin
{

/// What became of one idempotency key at all leaves together.
struct execution
{
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;

    /// When the key was first started.
    std::optional<std::chrono::steady_clock::time_point> first_start;
};

/// Counted by idempotency key.
class execution_log
{
public:
    void receive(const std::string& key);

    /// Returns how often the key has been started, this time included.
    std::uint64_t start(const std::string& key,
                        std::chrono::steady_clock::time_point now);

    void finish(const std::string& key);

    void reset();

    [[nodiscard]] const std::map<std::string, execution>& entries() const;

private:
    std::map<std::string, execution> by_key;
};

} // namespace basilpath::standin
