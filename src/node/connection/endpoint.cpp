#include "node/connection/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace basilpath
{

std::optional<boost::asio::ip::tcp::endpoint> to_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto [end, failed] = std::from_chars(first, last, port);
    boost::system::error_code bad;
    const auto address = boost::asio::ip::make_address_v4(
        std::string(text.substr(0, colon)), bad);
    if (failed != std::errc{} || end != last || bad)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace basilpath
