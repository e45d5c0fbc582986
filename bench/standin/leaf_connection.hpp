/// A connection accepted by a stand-in leaf.
#pragma once

#include <cstdint>
#include <mutex>
#include <string_view>

namespace basilpath::standin
{

/// Keeps the socket only while Pistache has it open, so that no bytes go to a
/// later socket that reuses the descriptor. Thread-safe except for the public
/// data members, which only the thread of the io_context uses.
class leaf_connection
{
public:
    leaf_connection(std::uint64_t id, int socket);

    /// Writes bytes directly to the socket, bypassing Pistache.
    void send_raw(std::string_view bytes);

    /// Shuts the connection down at once, dropping unsent bytes.
    void abort();

    /// Drops the descriptor; called before Pistache closes the socket.
    void detach_socket();

    [[nodiscard]] bool open() const;

    const std::uint64_t id;

    /// Whether a request has arrived on this connection.
    bool used = false;

    /// Whether requests on this connection are dropped unanswered.
    bool silent = false;

private:
    mutable std::mutex mutex;
    int socket;
};

} // namespace basilpath::standin
