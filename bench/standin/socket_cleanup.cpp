#include "standin/socket_cleanup.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <vector>

namespace basilpath::standin
{

namespace
{

// Returns all open file descriptors of this process.
std::vector<int> open_files()
{
    std::vector<int> numbers;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/self/fd"))
    {
        const std::string name = entry.path().filename();
        int number = -1;
        std::from_chars(name.data(), name.data() + name.size(), number);
        numbers.push_back(number);
    }
    return numbers;
}

// Returns whether the descriptor is a socket with this local address.
bool is_bound_to(int file, in_addr_t ip, in_port_t port)
{
    sockaddr_in own{};
    socklen_t size = sizeof own;
    if (getsockname(file, reinterpret_cast<sockaddr*>(&own), &size) != 0 ||
        own.sin_family != AF_INET)
    {
        return false;
    }
    return own.sin_addr.s_addr == ip && own.sin_port == port;
}

} // namespace

void close_sockets_at(const std::string& ip, unsigned port)
{
    const in_addr_t wanted_ip = inet_addr(ip.c_str());
    const in_port_t wanted_port = htons(static_cast<in_port_t>(port));
    const std::vector<int> files = open_files();
    std::ranges::for_each(files,
                          [&](int file)
                          {
                              if (is_bound_to(file, wanted_ip, wanted_port))
                              {
                                  ::close(file);
                              }
                          });
}

} // namespace basilpath::standin
