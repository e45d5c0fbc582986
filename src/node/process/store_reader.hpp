/// Keeps the view of the platform's store up to date.
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

/// How a host gets its first view.
enum class reader_role : std::uint8_t
{
    seed,        ///< reads the store at once, as others contact it first
    first_start, ///< all hosts start: waits for others to send the view
    restart      ///< waits briefly for others, as callers are waiting
};

/// Reads and watches the store while it is this host's turn: two hosts read at
/// a time, the others take over when the view that they get from the readers
/// becomes too old. Needed because the store counts each call, and readers may
/// die or be partitioned off.
template <runtime Runtime, item_source Source>
class store_reader
{
public:
    store_reader(Runtime& run, Source& source, store_view& view,
                 const member_list& members, reader_role role);

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();

private:
    [[nodiscard]] bool is_due(instant now) const;
    [[nodiscard]] bool needs_full_read() const;
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> pause(milliseconds wait);
    [[nodiscard]] bool apply(const item_update& update, instant as_of);
    void record_era(const read_result& result);
    void record_result(const read_result& result);
    void record_turn(bool due, instant now);

    Runtime& runtime_context;
    Source& source;
    store_view& view;
    const member_list& members;
    backoff retry;

    /// Until then a starting host waits for other hosts to send the view.
    instant first_read_at;
    bool full_read_due = true;

    /// The latest era in a response of the store.
    store_era latest_era;
    dependency_state store;

    /// Whether reads of the store continue the view.
    dependency_state continuity;

    /// Whether it was this host's turn to read.
    dependency_state turn;
};

} // namespace basilpath
