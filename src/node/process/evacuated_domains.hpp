/// The failure domains to whose replicas nothing may be sent.
#pragma once

#include "node/version/store_position.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace basilpath
{

/// Holds the evacuations that the store publishes, in the order of the view.
/// Needed when an operator takes a failure domain out of service while its
/// replicas still serve.
class evacuated_domains
{
public:
    /// Records whether a domain is evacuated, as of a position in the store's
    /// history. Returns how long the state before lasted, zero when it is not
    /// known; nothing when it does not change.
    std::optional<milliseconds> set(const failure_domain& domain, bool in_force,
                                    store_position as_of, instant now);

    [[nodiscard]] bool contains(const failure_domain& domain) const
    {
        return this->since.contains(domain);
    }

    [[nodiscard]] std::size_t count() const
    {
        return this->since.size();
    }

    /// Returns the position of the last change; zero before the first.
    [[nodiscard]] store_position position() const
    {
        return this->changed_at;
    }

    /// Counts calls that left the queue of an evacuated replica.
    void count_moved_calls(std::size_t calls)
    {
        this->moved += calls;
    }

    [[nodiscard]] std::uint64_t moved_calls() const
    {
        return this->moved;
    }

private:
    std::map<failure_domain, instant> since;
    store_position changed_at;
    std::uint64_t moved = 0;
};

} // namespace basilpath
