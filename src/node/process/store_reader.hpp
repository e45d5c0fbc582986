/// Keeps the view of the platform's store up to date.
#pragma once

#include "node/process/dependency_state.hpp"
#include "node/process/item_source.hpp"
#include "node/process/member_list.hpp"
#include "node/process/store_view.hpp"
#include "process/backoff.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

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
/// a time. One that cannot reach the store says so to the others and reads
/// last; the others also take over when the view that they get from the readers
/// becomes too old. Needed because the store counts each call, and readers may
/// die, be partitioned off or be turned away.
template <runtime Runtime, item_source Source>
class store_reader
{
public:
    store_reader(Runtime& run, Source& source, store_view& view,
                 member_list& members, reader_role role);

    /// Sets the function to call after this host's description in the member
    /// list has changed, as it has lost the store or reaches it again.
    void on_contact_change(const std::function<void()>& handler)
    {
        this->contact_handler = handler;
    }

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();

private:
    [[nodiscard]] bool is_due(instant now) const;
    [[nodiscard]] bool needs_full_read() const;
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> pause(milliseconds wait);
    [[nodiscard]] bool apply(const item_update& update, instant as_of);
    [[nodiscard]] milliseconds next_watch_wait() const;
    [[nodiscard]] milliseconds next_trial_wait();
    void set_store_lost(bool lost, std::string_view reason);
    void expect_progress(std::size_t received_before);
    void record_delay(microseconds elapsed, milliseconds wait);
    void record_era(const read_result& result);
    void record_result(const read_result& result);
    void record_turn(bool due, instant now);

    Runtime& runtime_context;
    Source& source;
    store_view& view;
    member_list& members;
    std::function<void()> contact_handler;
    backoff retry;

    /// Waits between the calls of a host that has lost the store while others
    /// read it.
    backoff trial;
    instant next_trial{};

    /// Calls that have failed in a row.
    unsigned failed_calls = 0;

    /// Whether the last call of this turn reached the store.
    bool reached_in_turn = false;

    /// Whether the watches of both readers may have returned at the same time.
    bool in_step = false;

    /// Expires when the watch in progress is late; null without a watch.
    std::shared_ptr<typename Runtime::timer> late;

    /// By how much the store lately answered watches late.
    microseconds watch_delay{0};

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
