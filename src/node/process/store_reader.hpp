/// Keeps the view up to date from the platform's store.
#pragma once

#include "node/process/dependency_state.hpp"
#include "node/process/item_source.hpp"
#include "node/process/member_list.hpp"
#include "node/process/store_view.hpp"
#include "process/backoff.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace basilpath
{

/// How a host comes by its first view.
enum class reader_role : std::uint8_t
{
    seed,        ///< others ask it first: it reads at once
    first_start, ///< all hosts start: others bring the view before it is needed
    restart      ///< others may bring it; callers wait
};

/// Reads and watches while it is this host's turn: two hosts read at a time,
/// the others take over when what the readers tell grows old. Answers the load
/// in which the store counts each call, and a reader is lost or cut off.
template <runtime Runtime, item_source Source>
class store_reader
{
public:
    store_reader(Runtime& run, Source& source, store_view& view,
                 const member_list& members, reader_role role);

    /// Runs for the life of the process.
    boost::asio::awaitable<void> run();

private:
    [[nodiscard]] bool is_due(instant now) const;
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> pause(milliseconds wait);
    void note_end(const read_result& result);

    Runtime& host;
    Source& source;
    store_view& view;
    const member_list& members;
    backoff retry;

    /// Until then other hosts may still bring the view of a starting host.
    instant first_read_at;
    bool whole_read_due = true;
    dependency_state store;
};

} // namespace basilpath
