/// Items of the store that another writer left: any field may be missing, of
/// another type, nested or out of range.
#include "item_decoder.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace
{

using namespace basilpath;
using namespace basilpath::platform;

// Nesting that fits into the largest value of the store, 1 MiB.
constexpr std::size_t nested_levels = 250'000;

std::string nested_lists()
{
    return std::string(nested_levels, '[') + std::string(nested_levels, ']');
}

std::string nested_tables()
{
    std::string text;
    constexpr std::size_t levels = nested_levels / 2;
    for (std::size_t i = 0; i < levels; ++i)
    {
        text += R"({"":)";
    }
    return text + "0" + std::string(levels, '}');
}

constexpr std::array<std::pair<std::string_view, std::string_view>, 8>
    entry_fields = {{{"backend", R"("b")"},
                     {"address", R"("10.0.0.1:80")"},
                     {"zone", R"("z")"},
                     {"slots", "2"},
                     {"state", R"("ready")"},
                     {"coldLeftMs", "0"},
                     {"seq", "1"},
                     {"born", "1700000000000"}}};

// Returns an entry of a replica in which one field has another value.
std::string entry_with(std::string_view changed, std::string_view value)
{
    std::string text = "{";
    for (const auto& [name, usual] : entry_fields)
    {
        text += fmt::format(R"({}"{}":{})", text.size() > 1 ? "," : "", name,
                            name == changed ? value : usual);
    }
    return text + "}";
}

decoded_item decode_entry(const std::string& value)
{
    return decode_item({"servers/i-1", value, 1});
}

// Guards against the entry that ended every host by a stack overflow, again at
// each start.
TEST_CASE("a deeply nested field of a replica entry is handled as one of the "
          "wrong type")
{
    const std::string nested =
        GENERATE(as<std::string>{}, nested_lists(), nested_tables());
    for (const auto& [name, usual] : entry_fields)
    {
        const decoded_item item = decode_entry(entry_with(name, nested));
        const bool needed = name == "backend" || name == "address" ||
                            name == "slots" || name == "state";
        CHECK(std::holds_alternative<unusable_item>(item) == needed);
    }
    CHECK(std::holds_alternative<unusable_item>(decode_entry(nested)));
    CHECK(std::holds_alternative<unusable_item>(
        decode_entry(std::string(2 * nested_levels, '['))));
}

// Guards against the same overflow in the fields of a configuration.
TEST_CASE("a deeply nested field of a configuration is ignored")
{
    const std::string nested =
        GENERATE(as<std::string>{}, nested_lists(), nested_tables());
    const std::string route =
        R"({"host":"h","prefix":"/u/","backend":"b","type":"idempotent",)"
        R"("timeoutMs":700,"attempts":2)";
    const std::string text = fmt::format(
        R"({{"version":7,"routes":[{},{}}},{},"priority":{}}}],"backends":)"
        R"([{{"name":"b","maxConns":{}}},{}],"limits":{{"maxBodyBytes":{}}}}})",
        nested, route, route, nested, nested, nested, nested);
    const decoded_item item = decode_item({"op/config", text, 1});
    const auto* const table =
        std::get_if<std::shared_ptr<const route_table>>(&item);
    REQUIRE(table);
    CHECK((*table)->find("h", "/u/x"));
    CHECK((*table)->limits().body_bytes == caller_limits{}.body_bytes);
    CHECK(std::holds_alternative<unusable_item>(decode_item(
        {"op/config", fmt::format(R"({{"version":{},"routes":[]}})", nested),
         1})));
}

// Guards against entries of another writer that hosts cannot use or that end
// them.
TEST_CASE("a replica entry with a needed number out of range is unusable")
{
    const std::string value =
        GENERATE(as<std::string>{}, "1e400", "-1", "99999999999999999999",
                 "18446744073709551616", "1e300", "2.5", "null");
    CHECK(std::holds_alternative<unusable_item>(
        decode_entry(entry_with("slots", value))));
}

TEST_CASE("a replica entry with another number out of range keeps the default "
          "or is unusable")
{
    const std::string_view field = GENERATE("coldLeftMs", "born", "seq");
    const std::string value =
        GENERATE(as<std::string>{}, "1e400", "-1", "-9223372036854775808",
                 "99999999999999999999", "18446744073709551615", "1e300");
    const decoded_item item = decode_entry(entry_with(field, value));
    if (const auto* const one = std::get_if<replica>(&item))
    {
        CHECK(one->warmup == milliseconds(0));
        CHECK((one->started == 0 || field != "born"));
    }
    else
    {
        CHECK(std::holds_alternative<unusable_item>(item));
    }
}

TEST_CASE("a replica entry whose address has no usable port is unusable")
{
    const std::string address =
        GENERATE(as<std::string>{}, "10.0.0.1:65536", "10.0.0.1:0",
                 "10.0.0.1:-1", "10.0.0.1:99999999999999999999",
                 "10.0.0.1:", "10.0.0.1: 80", "10.0.0.1:+80", "0.0.0.0:80");
    CHECK(std::holds_alternative<unusable_item>(
        decode_entry(entry_with("address", '"' + address + '"'))));
}

// Guards against an id that would add a line to the head of a call.
TEST_CASE("a replica entry whose id is not a header value is unusable")
{
    const std::string id = GENERATE(as<std::string>{}, "i-1\r\nX-Smuggled: 1",
                                    "i 1", "i\t1", "i\x7f", "\xc3\xa9", "");
    CHECK(std::holds_alternative<unusable_item>(
        decode_item({"servers/" + id, entry_with("", ""), 1})));
    CHECK(std::holds_alternative<replica>(
        decode_item({"servers/i+1&a=b%/c", entry_with("", ""), 1})));
}

} // namespace
