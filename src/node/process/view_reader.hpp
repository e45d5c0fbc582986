/// Keeps the view up to date from the platform's store.
#pragma once

#include "node/process/item_source.hpp"
#include "node/version/item_view.hpp"
#include "process/backoff.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>

namespace basilpath
{

/// Reads everything once, then watches.
template <runtime Runtime, item_source Source>
class view_reader
{
public:
    view_reader(Runtime& run, Source& source, item_view& view);

    /// Runs for the life of the process.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> pause(milliseconds wait);
    void note_end(const read_result& result);

    Runtime& host;
    Source& source;
    item_view& view;
    backoff retry;
    bool reachable = false;
};

} // namespace basilpath
