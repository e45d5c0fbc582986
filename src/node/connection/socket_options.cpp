#include "node/connection/socket_options.hpp"

#include <boost/asio/detail/socket_option.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace basilpath
{

void set_no_delay(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void set_user_timeout(boost::asio::ip::tcp::socket& socket, milliseconds limit)
{
    using user_timeout =
        boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                    TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option(user_timeout(static_cast<int>(limit.count())), ignored);
}

microseconds round_trip(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const int failed = ::getsockopt(socket.native_handle(), IPPROTO_TCP,
                                    TCP_INFO, &info, &size);
    return microseconds(failed != 0 ? 0 : info.tcpi_rtt);
}

std::uint16_t local_port(const boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    const auto end = socket.local_endpoint(error);
    return error ? std::uint16_t{0} : end.port();
}

std::optional<std::size_t>
unacknowledged_bytes(boost::asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    const int failed = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
    if (failed != 0 || bytes < 0)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace basilpath
