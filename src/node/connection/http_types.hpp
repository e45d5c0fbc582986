/// HTTP message types of the node's servers and clients.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace basilpath
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Returns whether a status code is of one of the classes of HTTP (RFC 9110,
/// section 15). The parser accepts any three digits.
[[nodiscard]] constexpr bool is_http_status(unsigned status)
{
    return status >= 100 && status < 600;
}

} // namespace basilpath
