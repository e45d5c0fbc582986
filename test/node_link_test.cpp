/// Encoding of the messages between hosts, and links that receive invalid or
/// malicious bytes.
#include "node/connection/endpoint.hpp"
#include "node/connection/link_codec.hpp"
#include "node/connection/peer_datagram.hpp"
#include "node/process/link_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

subquery sample_subquery()
{
    subquery one;
    one.number = subquery_number(7);
    one.version = document_number(12);
    one.route = "all";
    one.shards = {{3, {}}, {5, {leaf_id("s5-a")}}};
    one.report_after = 20ms;
    one.soft_timeout = 80ms;
    one.timeout = 900ms;
    one.record_floor = std::string(16, '\xff');
    one.separate_reports = true;
    caller_query query;
    query.method = "POST";
    query.host = "h";
    query.target = "/all/x?y=1";
    query.headers = {{"X-Request-Id", "r1"}};
    query.body = std::string("\0\x91\xff", 3);
    query.id = request_id("r1");
    one.query = std::make_shared<const caller_query>(std::move(query));
    return one;
}

TEST_CASE("encoding and decoding a link message preserves its fields")
{
    const instant now(5s);
    const subquery sent = sample_subquery();
    const auto read = decode_link_message(encode_link_message(sent), now);
    REQUIRE(read);
    const auto& one = std::get<subquery>(*read);
    CHECK(one.number == sent.number);
    CHECK(one.version == sent.version);
    CHECK(one.route == sent.route);
    REQUIRE(one.shards.size() == 2);
    CHECK(one.shards[1].asked == sent.shards[1].asked);
    CHECK(one.report_after == sent.report_after);
    CHECK(one.soft_timeout == sent.soft_timeout);
    CHECK(one.timeout == sent.timeout);
    CHECK(one.record_floor == sent.record_floor);
    CHECK(one.separate_reports);
    CHECK(one.query->headers == sent.query->headers);
    CHECK(one.query->body == sent.query->body);
    CHECK(one.query->arrived == now);

    subquery_report report;
    report.number = subquery_number(7);
    report.parts = {{3, "sig"}};
    report.missing_shards = {{5, missing_reason::broken, leaf_id("s5-b")}};
    report.records = std::string(32, '\0');
    const auto decoded_report =
        decode_link_message(encode_link_message(report), now);
    REQUIRE(decoded_report);
    const auto& report_fields = std::get<subquery_report>(*decoded_report);
    CHECK(report_fields.parts[0].signature == "sig");
    CHECK(report_fields.missing_shards[0].why == missing_reason::broken);
    CHECK(report_fields.records == report.records);
}

TEST_CASE("invalid link messages are rejected")
{
    const instant now(5s);
    subquery_report report;
    report.number = subquery_number(1);
    report.records = std::string(15, 'r');
    CHECK_FALSE(decode_link_message(encode_link_message(report), now));
    report.records.clear();
    report.parts = {{3, "one"}, {3, "two"}};
    CHECK_FALSE(decode_link_message(encode_link_message(report), now));
    subquery asked = sample_subquery();
    asked.timeout = -1ms;
    CHECK_FALSE(decode_link_message(encode_link_message(asked), now));
    asked = sample_subquery();
    asked.record_floor = "short";
    CHECK_FALSE(decode_link_message(encode_link_message(asked), now));
    const std::string whole = encode_link_message(sample_subquery());
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        CHECK_FALSE(decode_link_message(whole.substr(0, size), now));
    }
}

TEST_CASE("a deeply nested message does not crash the process")
{
    const std::string nested(1'000'000, '\x91');
    CHECK_FALSE(decode_link_message(nested, instant(5s)));
    CHECK_FALSE(decode_datagram(nested, instant(5s)));
    CHECK_FALSE(decode_update(nested));
}

// A link server and raw TCP connections to it.
class link_fixture
{
public:
    link_fixture()
        : server(context, peer_address("127.0.0.1:0"), traffic,
                 [this](link_server::sender send)
                 {
                     this->senders.push_back(std::move(send));
                     return link_server::link_handler{
                         [this](const link_message& message)
                         {
                             this->messages.push_back(message);
                             return true;
                         },
                         [this]
                         {
                             ++this->closed;
                         }};
                 })
    {
        this->server.start();
    }

    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(this->context);
        socket.connect(this->server.local_endpoint());
        return socket;
    }

    void run_until(const std::function<bool()>& done)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            this->context.restart();
            this->context.run_for(5ms);
        }
        REQUIRE(done());
    }

    static std::string frame(const std::string& message)
    {
        std::string length(4, '\0');
        for (std::size_t i = 0; i < 4; ++i)
        {
            length[i] = static_cast<char>(message.size() >> (24 - 8 * i));
        }
        return length + message;
    }

    boost::asio::io_context context;
    traffic_meter traffic;
    std::vector<link_message> messages;
    std::vector<link_server::sender> senders;
    std::size_t closed = 0;
    link_server server;
};

TEST_CASE("frames are parsed no matter how the stream is split")
{
    link_fixture node;
    auto socket = node.connect();
    const std::string bytes =
        link_fixture::frame(encode_link_message(sample_subquery())) +
        link_fixture::frame(
            encode_link_message(subquery_cancel{subquery_number(7)}));
    for (const char one : bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(&one, 1));
        node.context.restart();
        node.context.poll();
    }
    node.run_until([&node] { return node.messages.size() == 2; });
    CHECK(std::holds_alternative<subquery>(node.messages[0]));
    CHECK(std::holds_alternative<subquery_cancel>(node.messages[1]));
}

TEST_CASE("invalid bytes close their own link and no other")
{
    const std::string bad = GENERATE(
        as<std::string>{}, "\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n",
        link_fixture::frame("no message"), link_fixture::frame(""),
        link_fixture::frame(std::string(900'000, '\x91')));
    link_fixture node;
    auto good = node.connect();
    auto other = node.connect();
    node.run_until([&node] { return node.senders.size() == 2; });
    boost::system::error_code ignored;
    boost::asio::write(other, boost::asio::buffer(bad), ignored);
    node.run_until([&node] { return node.closed == 1; });
    boost::asio::write(good, boost::asio::buffer(link_fixture::frame(
                                 encode_link_message(sample_subquery()))));
    node.run_until([&node] { return node.messages.size() == 1; });
    CHECK(node.closed == 1);
}

TEST_CASE(
    "an endless byte stream closes its link within the message size limit")
{
    link_fixture node;
    auto socket = node.connect();
    socket.non_blocking(true);
    const std::string chunk(65'536, '\x05');
    std::size_t sent = 0;
    boost::system::error_code error;
    node.run_until(
        [&]
        {
            const std::size_t more =
                socket.write_some(boost::asio::buffer(chunk), error);
            sent += error ? 0 : more;
            return node.closed == 1;
        });
    // The length in the first four bytes exceeds the limit.
    CHECK(node.messages.empty());
    CHECK(sent < 16'000'000);
}

TEST_CASE("a link whose peer does not read is closed within bounded memory")
{
    link_fixture node;
    auto socket = node.connect();
    node.run_until([&node] { return node.senders.size() == 1; });
    subquery_report report;
    report.number = subquery_number(1);
    report.records = std::string(160'000, 'r');
    std::size_t sent = 0;
    while (node.closed == 0 && sent < 1'000)
    {
        node.senders[0](report);
        ++sent;
        node.context.restart();
        node.context.poll();
    }
    CHECK(node.closed == 1);
    CHECK(sent < 200);
}

} // namespace
