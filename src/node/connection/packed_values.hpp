/// The packed forms of long values that a host sends to others.
#pragma once

#include "node/version/item_cache.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace basilpath
{

/// Packs each long value once, or keeps the packed form in which it was
/// received: many hosts ask for the same value at the same time.
class packed_values
{
public:
    /// Shorter values are sent as they are.
    static constexpr std::size_t min_bytes = 4'096;

    /// Returns the packed form of a change's value; empty if that is short, or
    /// hardly shorter when packed.
    [[nodiscard]] const std::string& of(const item_change& change);

    /// Keeps the packed form in which a change was received.
    void keep(const item_change& change, std::string packed);

private:
    struct entry
    {
        store_position position;
        std::string packed;
    };

    std::map<std::string, entry> values;
};

} // namespace basilpath
