/// Interface of the adapter that reads the platform's store.
#pragma once

#include "node/version/item_cache.hpp"
#include "version/ids.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace basilpath
{

/// How a read of the store ended.
enum class read_end : std::uint8_t
{
    done,
    compacted,  ///< the requested history is gone or too long; a full read is
                ///< needed
    unavailable ///< no response, or an error response
};

struct read_result
{
    read_end end = read_end::unavailable;
    item_update update;

    /// Why there is no update, for the log.
    std::string reason;

    /// The store's era, if it responded at all.
    std::optional<store_era> era{};
};

/// Reads the items that concern this system and counts its calls. A watch
/// returns when something has changed after a revision, at the latest after
/// `wait`. A call whose response has not begun within `timeout` has failed; a
/// large one may take longer to arrive, and `received_bytes` grows meanwhile.
template <class Source>
concept item_source = requires(Source& source, store_revision after,
                               milliseconds wait, milliseconds timeout) {
    {
        source.read_all(timeout)
    } -> std::same_as<boost::asio::awaitable<read_result>>;
    {
        source.watch(after, wait, timeout)
    } -> std::same_as<boost::asio::awaitable<read_result>>;
    {
        source.received_bytes()
    } -> std::convertible_to<std::size_t>;
};

} // namespace basilpath
