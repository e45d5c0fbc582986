#include "process/burn_page.hpp"
#include "process/burn_report.hpp"
#include "process/burn_tracker.hpp"
#include "process/ctl_command.hpp"
#include "process/ctl_document.hpp"
#include "process/ctl_hosts.hpp"
#include "process/host_fetch.hpp"
#include "process/host_status.hpp"

#include "connection/http_server.hpp"
#include "golden.hpp"
#include "process/file.hpp"
#include "sample_document.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <thread>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;
using basilpath::test::check_golden;
using basilpath::test::make_document_text;

constexpr std::array both_formats = {std::pair{ctl_format::text, "txt"},
                                     std::pair{ctl_format::json, "json"}};

std::string with_code(const ctl_result& result)
{
    return fmt::format("{}exit code {}\n", result.text,
                       static_cast<int>(result.code));
}

document_file source_file(const std::string& name)
{
    return {name, read_file(fmt::format("{}/{}", BASILPATH_SOURCE_DIR, name))
                      .value_or("")};
}

TEST_CASE("check, diff and show of documents")
{
    const document_file good = source_file("deploy/ratnapura.ini");
    const document_file faulty{"faulty.ini", "[deployment]\nname = X\n"};
    const document_file one{"one.ini", make_document_text(1)};
    const document_file two{"two.ini", make_document_text(2, 5)};
    for (const auto& [format, ending] : both_formats)
    {
        check_golden(fmt::format("ctl-check.{}", ending),
                     with_code(check_document(good, format)) +
                         with_code(check_document(faulty, format)));
        check_golden(fmt::format("ctl-diff.{}", ending),
                     with_code(diff_documents(one, two, format)) +
                         with_code(diff_documents(one, one, format)) +
                         with_code(diff_documents(one, faulty, format)));
        check_golden(fmt::format("ctl-show.{}", ending),
                     with_code(show_document(good, format)));
    }
}

host_reply good_reply(const std::string& address, const nlohmann::json& body)
{
    return {address, 200, body.dump(), ""};
}

const host_reply lost_reply = {"127.0.0.1:3", 0, "", "Timeout was reached"};

host_status make_status(const std::string& host)
{
    host_status status;
    status.host = host;
    status.uptime = 90s;
    status.in_flight = 3;
    status.deployment = "ratnapura";
    status.document = document_number(7);
    status.digest = document_digest(0xabcdef);
    status.document_age = 1500ms;
    status.targets_revision = 2;
    status.hosts_revision = 4;
    status.quarantines = {"00000000000000ff"};
    status.figures = {{"outcomes_held", 12.0}};
    return status;
}

TEST_CASE("status shows every host and where they differ")
{
    host_status other = make_status("h2");
    other.document = document_number(8);
    other.draining = true;
    other.leaving_hosts = {"h2"};
    const std::vector<host_reply> replies = {
        good_reply("127.0.0.1:1", to_json(make_status("h1"))),
        good_reply("127.0.0.1:2", to_json(other)), lost_reply,
        host_reply{"127.0.0.1:4", 200, "{", ""},
        host_reply{"127.0.0.1:5", 404, "{}", ""}};
    for (const auto& [format, ending] : both_formats)
    {
        check_golden(fmt::format("ctl-status.{}", ending),
                     with_code(report_status(replies, format)));
        check_golden(
            fmt::format("ctl-drain.{}", ending),
            with_code(report_drain("127.0.0.1:1", replies, format)) +
                with_code(report_drain("127.0.0.1:2", replies, format)) +
                with_code(report_drain("127.0.0.1:3", replies, format)));
    }
    CHECK(host_status_from_json(to_json(other)) == other);
    const std::vector<host_reply> alike(2, replies.front());
    CHECK(report_status(alike, ctl_format::text).code == ctl_exit::good);
    CHECK(report_status({lost_reply}, ctl_format::text).code ==
          ctl_exit::none_reached);
    CHECK(report_drain("127.0.0.1:3", {lost_reply}, ctl_format::text).code ==
          ctl_exit::none_reached);
}

TEST_CASE("explain lists the events of a request")
{
    const nlohmann::json trace = {
        {"request", "h1-4f-17"},
        {"events",
         {{{"at_us", 0}, {"text", "arrived"}},
          {{"at_us", 12'345}, {"text", "answered code=0"}}}}};
    const std::vector<host_reply> replies = {good_reply("127.0.0.1:1", trace),
                                             {"127.0.0.1:2", 404, "{}", ""}};
    const std::vector<host_reply> unknown = {replies.back(), lost_reply};
    for (const auto& [format, ending] : both_formats)
    {
        check_golden(
            fmt::format("ctl-explain.{}", ending),
            with_code(report_explain("h1-4f-17", replies, format)) +
                with_code(report_explain("h1-4f-18", unknown, format)));
    }
}

// Counts what a host might have given its callers: `missed` of 1000 requests
// of a class were not served.
nlohmann::json make_burn(int missed)
{
    burn_tracker tracker(0us);
    request_class valuation;
    valuation.name = class_name("valuation");
    valuation.service = service_name("counter-desk");
    valuation.value = worth(100.0);
    valuation.objective_share = 0.99;
    request_class closing = valuation;
    closing.name = class_name("closing");
    closing.service = service_name("branch-close");
    closing.value = worth(5.0);
    for (int i = 0; i < 1'000; ++i)
    {
        const auto now = std::chrono::seconds(i);
        const bool miss = i % 100 < missed;
        tracker.record(valuation,
                       {miss ? result_code::partial : result_code::complete,
                        coverage(miss ? 0.9 : 1.0), 10ms + i * 50us},
                       now);
        tracker.record(closing, {result_code::complete, coverage(1.0), 20ms},
                       now);
    }
    tracker.record(closing, {result_code::overloaded, {}, 1ms}, 1000s);
    return nlohmann::json::parse(tracker.to_json(1000s));
}

TEST_CASE("the burn report merges hosts and names those lost")
{
    const std::vector<host_reply> replies = {
        good_reply("127.0.0.1:1", make_burn(1)),
        good_reply("127.0.0.1:2", make_burn(40)), lost_reply,
        host_reply{"127.0.0.1:4", 200, "[]", ""}};
    for (const auto& [format, ending] : both_formats)
    {
        check_golden(fmt::format("ctl-burn.{}", ending),
                     with_code(report_burn(replies, format)));
    }
    check_golden("burn.html", burn_to_page(read_burn_report(replies)));
}

TEST_CASE("burn rates, the budget left and alerts")
{
    const auto judge = [](int missed)
    {
        const burn_report report =
            read_burn_report({good_reply("127.0.0.1:1", make_burn(missed))});
        return judge_burn(report.classes.at("valuation"), report.scale);
    };
    const burn_verdict calm = judge(0);
    CHECK(calm.rates[3] == 0.0);
    CHECK(calm.budget_left == 1.0);
    CHECK_FALSE(calm.runs_out.has_value());
    CHECK(calm.alert == burn_alert::none);
    const burn_verdict slow = judge(8);
    CHECK(slow.rates[3] == Approx(8.0));
    CHECK(slow.budget_left == Approx(-7.0));
    CHECK(slow.runs_out == 0s);
    CHECK(slow.alert == burn_alert::slow);
    CHECK(judge(20).alert == burn_alert::fast);
    CHECK(report_burn({good_reply("127.0.0.1:1", make_burn(20))},
                      ctl_format::text)
              .code == ctl_exit::finding);
    CHECK(
        report_burn({good_reply("127.0.0.1:1", make_burn(0))}, ctl_format::text)
            .code == ctl_exit::good);
    CHECK(report_burn({lost_reply}, ctl_format::text).code ==
          ctl_exit::none_reached);
}

TEST_CASE("the command line is checked before anything is asked")
{
    const auto run =
        [](std::vector<std::string> words, std::vector<std::string> hosts = {})
    {
        ctl_arguments arguments;
        arguments.words = std::move(words);
        arguments.hosts = std::move(hosts);
        return run_ctl(std::move(arguments));
    };
    for (const ctl_result& result :
         {run({}), run({"dance"}), run({"check"}), run({"check", "a", "b"}),
          run({"check", "/"}), run({"check", "/nonexistent"}), run({"status"}),
          run({"status"}, {"localhost:1"}),
          run({"explain", "a/../b"}, {"127.0.0.1:1"}),
          run({"drain", "h1"}, {"127.0.0.1:1"})})
    {
        CAPTURE(result.text);
        CHECK(result.code == ctl_exit::unusable);
        CHECK_FALSE(result.text.empty());
    }
    std::string text = ctl_help("");
    for (const ctl_command& command : ctl_commands())
    {
        text += "\n" + ctl_help(command.name);
    }
    check_golden("ctl-help.txt", text);
}

TEST_CASE("hosts are asked over HTTP, and one that is away is lost")
{
    boost::asio::io_context context(1);
    const auto guard = boost::asio::make_work_guard(context);
    http_server server(
        context, {"127.0.0.1:0"},
        [](const std::shared_ptr<http_exchange>& exchange) {
            exchange->reply({200, exchange->path, "application/json", {}});
        });
    http_server refuser(
        context, {"127.0.0.1:0"},
        [](const std::shared_ptr<http_exchange>& exchange) {
            exchange->reply({404, "{}", "application/json", {}});
        });
    // Bound and not listened on: refuses, and nobody else can have the port.
    boost::asio::ip::tcp::socket closed(context);
    closed.open(boost::asio::ip::tcp::v4());
    closed.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t closed_port = closed.local_endpoint().port();
    std::thread loop([&context] { context.run(); });
    const auto replies =
        fetch_from_hosts({fmt::format("127.0.0.1:{}", server.port()),
                          fmt::format("127.0.0.1:{}", refuser.port()),
                          fmt::format("127.0.0.1:{}", closed_port)},
                         "/v1/burn", 10s);
    context.stop();
    loop.join();
    REQUIRE(replies.size() == 3);
    CHECK(replies[0].status == 200);
    CHECK(replies[0].body == "/v1/burn");
    CHECK(replies[0].lost.empty());
    CHECK(replies[1].status == 404);
    CHECK(replies[2].status == 0);
    CHECK_FALSE(replies[2].lost.empty());
}

} // namespace
