#include "caller_codec.hpp"
#include "item_decoder.hpp"
#include "leaf_codec.hpp"
#include "settings_reader.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace
{

using namespace basilpath;
using namespace basilpath::platform;
using namespace std::chrono_literals;
using nlohmann::json;

json sample_settings()
{
    return json::parse(R"({
      "nodeName": "edge-1", "ip": "10.1.0.9", "zone": "z1", "region": "r1",
      "zones": {"z1": "r1", "z2": "r1"}, "bootstrap": true,
      "bindAddrs": {"front": "10.1.0.9:8104", "ready": "10.1.0.9:8108",
                    "control": "10.1.0.9:8106",
                    "directory": "10.1.0.9:8100"},
      "portRange": [7380, 7395], "seeds": ["10.2.0.21:8106"],
      "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
      "bounds": {"drainMs": 3000, "graceS": 6, "retryBudgetRatio": 0.2,
                 "budgetWindowS": 10, "budgetSlack": 56, "ttl_max_s": 5},
      "platform": {"address": "10.200.1.7:8102"}, "newField": [1]})");
}

TEST_CASE("the platform's settings file is read")
{
    const auto read = read_settings(sample_settings().dump());
    REQUIRE(read.settings);
    const node_settings& settings = *read.settings;
    CHECK(settings.callers.value == "10.1.0.9:8104");
    CHECK(settings.peers.value == "10.1.0.9:7380");
    CHECK(settings.seeds ==
          std::vector<peer_address>{peer_address("10.2.0.21:7380")});
    CHECK(settings.replica_drain_timeout == 3s);
    CHECK(settings.shutdown_timeout == 6s);
    CHECK(settings.repeat_slack == 56);
    CHECK(settings.first_start);
    CHECK(settings.domains.size() == 2);
}

TEST_CASE("a missing or mistyped settings field is named in the error")
{
    for (const char* const field :
         {"nodeName", "ip", "zone", "portRange", "bindAddrs", "platform"})
    {
        json missing = sample_settings();
        missing.erase(field);
        const auto read = read_settings(missing.dump());
        CHECK_FALSE(read.settings);
        CHECK(read.reason.find(field) != std::string::npos);
        json wrong = sample_settings();
        wrong[field] = 17;
        CHECK_FALSE(read_settings(wrong.dump()).settings);
    }
    CHECK_FALSE(read_settings("not json").settings);
    CHECK_FALSE(read_settings("[]").settings);
    // Invalid optional fields are ignored.
    json odd = sample_settings();
    odd["seeds"] = {1, "10.2.0.21:8106"};
    odd["bounds"] = "none";
    odd["limits"] = json::array();
    odd["zones"] = json::object({{"z1", 3}});
    CHECK(read_settings(odd.dump()).settings);
}

TEST_CASE("an invalid address is reported when the settings are read, not at "
          "bind time")
{
    for (const char* const field : {"front", "ready", "directory"})
    {
        json wrong = sample_settings();
        wrong["bindAddrs"][field] = GENERATE(as<std::string>{}, "10.1.0.9",
                                             "10.1.0.9:8q08", "host:80", "");
        const auto read = read_settings(wrong.dump());
        CHECK_FALSE(read.settings);
        CHECK(read.reason.find(field) != std::string::npos);
    }
    json wrong = sample_settings();
    wrong["portRange"] = {GENERATE(0, -1, 65'536)};
    CHECK_FALSE(read_settings(wrong.dump()).settings);
}

TEST_CASE("invalid bounds and limits keep their defaults")
{
    json wrong = sample_settings();
    wrong["bounds"] = {{"graceS", 1e300},     {"drainMs", -5},
                       {"budgetWindowS", 0},  {"retryBudgetRatio", -0.2},
                       {"ttl_max_s", "five"}, {"budgetSlack", nullptr}};
    wrong["limits"] = {{"cpuShare", 0}, {"linkMbps", -1}};
    const auto read = read_settings(wrong.dump());
    REQUIRE(read.settings);
    const node_settings defaults;
    CHECK(read.settings->shutdown_timeout == defaults.shutdown_timeout);
    CHECK(read.settings->replica_drain_timeout ==
          defaults.replica_drain_timeout);
    CHECK(read.settings->repeat_window == defaults.repeat_window);
    CHECK(read.settings->repeat_ratio == defaults.repeat_ratio);
    CHECK(read.settings->repeat_slack == defaults.repeat_slack);
    CHECK(read.settings->directory_max_age == defaults.directory_max_age);
    CHECK(read.settings->processor_share == defaults.processor_share);
    CHECK(read.settings->link_mbps == defaults.link_mbps);
}

json sample_configuration()
{
    return json::parse(R"({"version": 7,
      "routes": [
        {"name": "g", "host": "h", "prefix": "/g/", "type": "idempotent",
         "timeoutMs": 800, "targetLatencyMs": 50, "priority": 2,
         "gather": ["s1", "s2"], "attempts": 2, "topK": 5,
         "minCoverage": 0.75},
        {"name": "u", "host": "h", "prefix": "/u/", "type": "non_idempotent",
         "timeoutMs": 6000, "targetLatencyMs": 400, "backend": "b",
         "attempts": 2},
        {"name": "w", "host": "h", "prefix": "/w/", "type": "idempotent",
         "timeoutMs": 6000, "targetLatencyMs": 400,
         "trafficSplit": [{"backend": "b", "weight": 3},
                          {"backend": "c", "weight": 1}], "attempts": 2}],
      "backends": [{"name": "b", "healthCheck": "/health", "maxConns": 26}],
      "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})");
}

TEST_CASE("a configuration is decoded into routes")
{
    const auto item =
        decode_item({"op/config", sample_configuration().dump(), 3});
    const auto* const table =
        std::get_if<std::shared_ptr<const route_table>>(&item);
    REQUIRE(table);
    CHECK((*table)->version().value == 7);
    const route* const gathers = (*table)->find("h", "/g/x");
    REQUIRE(gathers);
    CHECK(gathers->gathers());
    CHECK(gathers->objective == 50ms);
    CHECK(gathers->gather.most_records == 5);
    CHECK(gathers->idempotent);
    const route* const once = (*table)->find("h", "/u/x");
    REQUIRE(once);
    CHECK_FALSE(once->idempotent);
    CHECK((*table)->find("h", "/w/x")->parts.size() == 2);
    CHECK((*table)->service(service_name("b"))->connections == 26);
    CHECK((*table)->limits().idle_timeout == 15s);
}

TEST_CASE(
    "invalid configurations and replica entries are reported as unusable items")
{
    const auto unusable = [](const std::string& key, const std::string& value)
    {
        return std::holds_alternative<unusable_item>(
            decode_item({key, value, 1}));
    };
    CHECK(unusable("op/config", "garbage"));
    CHECK(unusable("op/config", "{}"));
    CHECK(unusable("op/config", R"({"version": "x", "routes": []})"));
    CHECK(unusable("op/config", R"({"version": 3, "routes": {}})"));
    CHECK(unusable("servers/i", "\xff\xfe"));
    CHECK(unusable("servers/i", R"({"backend": 3})"));
    const std::string start = R"({"backend":"b","address":"10.0.0.1:80",)";
    CHECK(unusable("servers/i", start + R"("slots":2,"state":"odd"})"));
    CHECK(unusable("servers/i", start + R"("slots":"2","state":"ready"})"));
    CHECK(
        std::holds_alternative<foreign_item>(decode_item({"other/x", "y", 1})));
    // An invalid route does not invalidate the others.
    json partly = sample_configuration();
    partly["routes"].push_back(17);
    partly["routes"].push_back({{"host", "h"}});
    const auto item = decode_item({"op/config", partly.dump(), 3});
    REQUIRE(std::holds_alternative<std::shared_ptr<const route_table>>(item));
}

TEST_CASE(
    "a route that could answer no request is skipped, the others are kept")
{
    const auto [field, value] =
        GENERATE(table<std::string, json>({{"prefix", "u/"},
                                           {"prefix", "/u"},
                                           {"backend", 3},
                                           {"gather", json::array()}}));
    json wrong = sample_configuration();
    json& changed = wrong["routes"][1];
    if (field == "gather")
    {
        changed.erase("backend");
    }
    changed[field] = value;
    const auto item = decode_item({"op/config", wrong.dump(), 3});
    const auto& table = std::get<std::shared_ptr<const route_table>>(item);
    CHECK(table->route_count() == 2);
    CHECK(table->find("h", "/g/x"));
}

TEST_CASE("out-of-range numbers in a configuration keep their defaults")
{
    json wrong = sample_configuration();
    wrong["routes"][0]["timeoutMs"] = -1;
    wrong["routes"][0]["attempts"] = 1e18;
    wrong["routes"][0]["minCoverage"] = 1.5;
    wrong["routes"][2]["trafficSplit"][0]["weight"] = -3;
    wrong["backends"][0]["maxConns"] = 0;
    wrong["limits"] = {{"maxHeaderBytes", 0}, {"idleTimeoutMs", -1}};
    const auto item = decode_item({"op/config", wrong.dump(), 3});
    const auto& table = std::get<std::shared_ptr<const route_table>>(item);
    const route& gathers = *table->find("h", "/g/x");
    CHECK(gathers.timeout > 0ms);
    CHECK(gathers.attempts == 1);
    CHECK(gathers.gather.least.value == 1.0);
    CHECK(table->find("h", "/w/x")->parts[0].weight == 1.0);
    CHECK(table->service(service_name("b"))->connections == 1);
    const caller_limits defaults;
    CHECK(table->limits().header_bytes == defaults.header_bytes);
    CHECK(table->limits().idle_timeout == defaults.idle_timeout);
}

TEST_CASE("a traffic split whose weights are all zero is split evenly")
{
    json zero = sample_configuration();
    zero["routes"][2]["trafficSplit"][0]["weight"] = 0;
    const auto one_zero = decode_item({"op/config", zero.dump(), 3});
    const auto& used = std::get<std::shared_ptr<const route_table>>(one_zero);
    CHECK(used->find("h", "/w/x")->parts[0].weight == 0.0);
    CHECK(used->find("h", "/w/x")->parts[1].weight == 1.0);
    zero["routes"][2]["trafficSplit"][1]["weight"] = 0;
    const auto all_zero = decode_item({"op/config", zero.dump(), 3});
    const auto& table = std::get<std::shared_ptr<const route_table>>(all_zero);
    REQUIRE(table->find("h", "/w/x"));
    CHECK(table->find("h", "/w/x")->parts[0].weight == 1.0);
    CHECK(table->find("h", "/w/x")->parts[1].weight == 1.0);
}

TEST_CASE("a replica entry with an invalid address is unusable")
{
    const std::string address =
        GENERATE(as<std::string>{}, "10..1:00.80", "10.0.0.1", "leaf:80", "");
    const json entry = {{"backend", "b"},
                        {"address", address},
                        {"slots", 2},
                        {"state", "ready"}};
    CHECK(std::holds_alternative<unusable_item>(
        decode_item({"servers/i-1", entry.dump(), 1})));
}

TEST_CASE("a replica entry and its removal are decoded")
{
    const auto item = decode_item(
        {"servers/i-1",
         R"({"backend":"b","address":"10.0.0.1:80","zone":"z","version":"v1",
             "slots":2,"state":"draining","coldLeftMs":1200,"seq":4,
             "born":1700000000000})",
         9});
    const auto* const one = std::get_if<replica>(&item);
    REQUIRE(one);
    CHECK(one->id.value == "i-1");
    CHECK(one->leaving);
    CHECK(one->warmup == 1200ms);
    CHECK(one->started == 1'700'000'000'000);
    const auto removed = decode_item({"servers/i-1", std::nullopt, 10});
    CHECK(std::get<replica_removed>(removed).id.value == "i-1");
}

target_call sample_call()
{
    auto query = std::make_shared<caller_query>();
    query->method = "POST";
    query->target = "/u/2f?a=b";
    query->headers = {{"Host", "h"}, {"X-Request-Id", "9c41"}};
    query->body = "body";
    query->id = request_id("9c41");
    target_call call;
    call.query = query;
    call.to = leaf_id("i-1");
    return call;
}

TEST_CASE("a call to a leaf carries the remaining time and the target replica")
{
    CHECK(leaf_codec::encode_call(sample_call(), 250ms) ==
          "POST /u/2f?a=b HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41\r\n"
          "X-Deadline-Ms: 250\r\nX-Target-Instance: i-1\r\n"
          "Content-Length: 4\r\n\r\nbody");
}

TEST_CASE("the answer of a leaf is decoded")
{
    http_response response(boost::beast::http::status::ok, 11);
    response.set("X-Response-Signature", "3e1b.07");
    response.set("X-Server-Load", "3, 1,8,250");
    response.set("X-Request-Id", "9c41");
    response.set("Keep-Alive", "timeout=5, max=100");
    response.set("Connection", "keep-alive, X-Hop");
    response.set("X-Hop", "1");
    response.set("Content-Type", "text/plain");
    response.body() = "bytes";
    const target_reply reply = leaf_codec::decode_reply(response);
    CHECK(reply.success());
    CHECK_FALSE(reply.not_executed);
    CHECK(reply.signature == "3e1b.07");
    REQUIRE(reply.load);
    CHECK(reply.load->running == 3);
    CHECK(reply.load->waiting == 1);
    CHECK(reply.load->slowdown == 2.5);
    CHECK(reply.keep_alive_timeout == 5s);
    CHECK(reply.echoed_request_id->value == "9c41");
    CHECK(reply.headers ==
          std::vector<message_header>{{"X-Response-Signature", "3e1b.07"},
                                      {"X-Request-Id", "9c41"},
                                      {"Content-Type", "text/plain"}});
}

TEST_CASE("only a header or status 421 marks a request as not executed")
{
    http_response plain(boost::beast::http::status::service_unavailable, 11);
    CHECK_FALSE(leaf_codec::decode_reply(plain).not_executed);
    plain.set("X-Not-Executed", "1");
    CHECK(leaf_codec::decode_reply(plain).not_executed);
    const http_response other(boost::beast::http::status::misdirected_request,
                              11);
    CHECK(leaf_codec::decode_reply(other).not_executed);
    http_response odd(boost::beast::http::status::ok, 11);
    odd.set("X-Server-Load", "3,x,8");
    CHECK_FALSE(leaf_codec::decode_reply(odd).load);
}

TEST_CASE("a caller's request is decoded without hop-by-hop headers")
{
    http_request request(boost::beast::http::verb::get, "/g/2f?q=1", 11);
    request.set("Host", "h:8104");
    request.set("X-Request-Id", "9c41");
    request.set("X-Deadline-Ms", "800");
    request.set("X-Target-Instance", "forged");
    request.set("Connection", "close");
    const caller_query query = decode_query(request, instant{});
    CHECK(query.host == "h");
    CHECK(query.target == "/g/2f?q=1");
    CHECK(query.caller_timeout == 800ms);
    CHECK(query.id.value == "9c41");
    CHECK(query.headers == std::vector<message_header>{
                               {"Host", "h:8104"}, {"X-Request-Id", "9c41"}});
    request.set("X-Deadline-Ms", "soon");
    CHECK_FALSE(decode_query(request, instant{}).caller_timeout);
}

TEST_CASE("a reply over shards carries part signatures and the number of "
          "missing parts")
{
    caller_reply reply;
    reply.status = 200;
    reply.part_signatures = {"a", "b"};
    reply.missing_parts = 1;
    reply.body = "records";
    const http_response response = encode_reply(reply);
    CHECK(response["X-Part-Stamps"] == "a, b");
    CHECK(response["X-Missing-Parts"] == "1");
    caller_reply refusal;
    refusal.status = 503;
    refusal.retry_after = 85ms;
    CHECK(encode_reply(refusal)["Retry-After"] == "0.085");
}

TEST_CASE("the directory decodes a request by domain and encodes addresses")
{
    const http_request request(boost::beast::http::verb::get,
                               "/resolve?name=h&region=r&zone=z1", 11);
    const auto decoded = decode_directory_request(request);
    REQUIRE(decoded);
    CHECK(decoded->domain.value == "z1");
    CHECK(decoded->region.value == "r");
    const http_request other(boost::beast::http::verb::get, "/else", 11);
    CHECK_FALSE(decode_directory_request(other));
    const json body =
        json::parse(encode_directory({http_address("10.0.0.1:80")}, 2s).body());
    CHECK(body["addrs"] == json::array({"10.0.0.1:80"}));
    CHECK(body["ttl_s"] == 2.0);
    CHECK(encode_directory({}, 2s).result_int() == 503);
}

} // namespace
