#include "version/ip_address.hpp"

#include "version/number.hpp"

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <string>

namespace basilpath
{

bool is_address(std::string_view text, bool any_port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code failed;
    boost::asio::ip::make_address(std::string(ip), failed);
    const auto port = to_number<std::uint16_t>(text.substr(colon + 1));
    return !failed && port && (any_port || *port > 0);
}

} // namespace basilpath
