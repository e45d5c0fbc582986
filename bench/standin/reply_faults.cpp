#include "standin/reply_faults.hpp"

#include "standin/leaf_call.hpp"

#include <fmt/format.h>

namespace basilpath::standin
{

namespace
{

constexpr const char* garbage_bytes = "\x01\x02 not HTTP \xFF\r\n\r\n";
constexpr double truncated_share = 0.5;

} // namespace

std::string raw_response(const std::string& body, double share)
{
    const auto length =
        static_cast<std::size_t>(static_cast<double>(body.size()) * share);
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       body.size(), body.substr(0, length));
}

bool distort_reply(leaf_call& call, const std::string& body,
                   const std::function<bool(fault_kind)>& applies)
{
    leaf_connection& connection = *call.connection;
    if (applies(fault_kind::drop_reply))
    {
        return true;
    }
    if (applies(fault_kind::drop_connection))
    {
        connection.abort();
        return true;
    }
    if (applies(fault_kind::garbage))
    {
        connection.send_raw(garbage_bytes);
        connection.abort();
        return true;
    }
    if (applies(fault_kind::truncate))
    {
        connection.send_raw(raw_response(body, truncated_share));
        connection.abort();
        return true;
    }
    return false;
}

} // namespace basilpath::standin
