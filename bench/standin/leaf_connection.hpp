/// One connection that a stand-in leaf has accepted.
#pragma once

#include <cstdint>
#include <mutex>
#include <string_view>

namespace basilpath::standin
{

/// Holds the socket only while Pistache has it open, so that bytes never reach
/// a socket that has since been given the same number. Thread-safe but for the
/// plain members, which belong to the io_context's thread.
class leaf_connection
{
public:
    leaf_connection(std::uint64_t id, int socket);

    /// Writes bytes as they are, past Pistache.
    void send_raw(std::string_view bytes);

    /// Ends the connection at once; what is still unsent is lost.
    void abort();

    /// Called when Pistache is about to close the socket.
    void forget();

    [[nodiscard]] bool open() const;

    const std::uint64_t id;

    /// Whether a request has come on this connection.
    bool used = false;

    /// Requests on a silent connection never arrive.
    bool silent = false;

private:
    mutable std::mutex mutex;
    int socket;
};

} // namespace basilpath::standin
