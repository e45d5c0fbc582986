/// What the node needs of the adapter that reads the platform's store.
#pragma once

#include "node/version/item_cache.hpp"
#include "version/ids.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace basilpath
{

/// How a read of the store ended.
enum class read_end : std::uint8_t
{
    done,
    compacted,  ///< the history asked for is gone; read everything anew
    unavailable ///< no answer, or a refusal
};

struct read_result
{
    read_end end = read_end::unavailable;
    item_update update;

    /// Why there is no update.
    std::string reason;
};

/// Reads the items that concern this system. Counts its calls. A watch answers
/// when something has changed after a revision, or after the wait; a call that
/// has no answer within the patience has failed.
template <class Source>
concept item_source = requires(Source& source, store_revision after,
                               milliseconds wait, milliseconds timeout) {
    {
        source.read_all(timeout)
    } -> std::same_as<boost::asio::awaitable<read_result>>;
    {
        source.watch(after, wait, timeout)
    } -> std::same_as<boost::asio::awaitable<read_result>>;
};

} // namespace basilpath
