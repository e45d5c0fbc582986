/// Fuzz target: arbitrary bytes as the answer of a leaf or as the request of a
/// caller. The first byte selects which.
#include "caller_codec.hpp"
#include "leaf_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace basilpath;
namespace http = boost::beast::http;

void check_answer(const std::string& bytes)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(bytes), failed);
    if (failed || !parser.is_done())
    {
        return;
    }
    const http_response answer = parser.release();
    static_cast<void>(platform::leaf_codec::responding_replica(answer));
    const target_reply reply = platform::leaf_codec::decode_reply(answer);
    if (reply.load && reply.load->slots == 0)
    {
        std::abort();
    }
    const bool says_leaving = answer["Server-Leaving"] == "1";
    if (reply.leaving != says_leaving ||
        reply.responder != platform::leaf_codec::responding_replica(answer))
    {
        std::abort();
    }
}

void check_request(const std::string& bytes)
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(bytes), failed);
    if (failed || !parser.is_done())
    {
        return;
    }
    const http_request request = parser.get();
    static_cast<void>(platform::decode_directory_request(request));
    auto query =
        std::make_shared<caller_query>(platform::decode_query(request, {}));
    if (query->caller_timeout && query->caller_timeout->count() < 0)
    {
        std::abort();
    }
    // The call to a leaf must be exactly one request for any input.
    target_call call;
    call.query = query;
    call.to = leaf_id("i-1");
    const std::string text =
        platform::leaf_codec::encode_call(call, milliseconds(100));
    http::request_parser<http::string_body> again;
    again.eager(true);
    const auto used = again.put(boost::asio::buffer(text), failed);
    if (failed || !again.is_done() || used != text.size())
    {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0)
    {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    data[0] % 2 == 0 ? check_answer(bytes) : check_request(bytes);
    return 0;
}
