#include "standin/leaf_connection.hpp"

#include <sys/socket.h>

#include <utility>

namespace basilpath::standin
{

leaf_connection::leaf_connection(std::uint64_t id, int socket)
    : id(id), socket(socket)
{
}

void leaf_connection::send_raw(std::string_view bytes)
{
    const std::lock_guard lock(this->mutex);
    if (this->socket >= 0)
    {
        ::send(this->socket, bytes.data(), bytes.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    }
}

void leaf_connection::abort()
{
    const std::lock_guard lock(this->mutex);
    if (this->socket >= 0)
    {
        ::shutdown(this->socket, SHUT_RDWR);
    }
}

void leaf_connection::detach_socket()
{
    const std::lock_guard lock(this->mutex);
    this->socket = -1;
}

bool leaf_connection::open() const
{
    const std::lock_guard lock(this->mutex);
    return this->socket >= 0;
}

} // namespace basilpath::standin
