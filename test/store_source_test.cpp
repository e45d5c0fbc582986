#include "node/connection/http_server.hpp"
#include "store_source.hpp"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <exception>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using nlohmann::json;

// Decodes a value in a query string.
std::string decode_parameter(std::string_view text)
{
    std::string decoded;
    while (!text.empty())
    {
        char one = text.front() == '+' ? ' ' : text.front();
        std::size_t used = 1;
        if (one == '%' && text.size() >= 3)
        {
            unsigned value = 0;
            std::from_chars(text.data() + 1, text.data() + 3, value, 16);
            one = static_cast<char>(value);
            used = 3;
        }
        decoded += one;
        text.remove_prefix(used);
    }
    return decoded;
}

std::map<std::string, std::string> parameters_of(std::string_view target)
{
    std::map<std::string, std::string> found;
    target.remove_prefix(std::min(target.find('?') + 1, target.size()));
    target = target.substr(0, target.find('#'));
    while (!target.empty())
    {
        const std::string_view one = target.substr(0, target.find('&'));
        target.remove_prefix(std::min(one.size() + 1, target.size()));
        const auto equals = std::min(one.find('='), one.size());
        found[std::string(one.substr(0, equals))] =
            decode_parameter(one.substr(std::min(equals + 1, one.size())));
    }
    return found;
}

std::string to_base64(const std::string& value)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(value.size()), '\0');
    text.resize(base64::encode(text.data(), value.data(), value.size()));
    return text;
}

/// A store that returns a fixed number of items a page.
struct paged_store
{
    paged_store(std::vector<std::string> keys, std::size_t page)
        : keys(std::move(keys)), page(page),
          server(context, "127.0.0.1:0",
                 [this](std::shared_ptr<http_request> request,
                        const std::shared_ptr<caller_presence>&)
                 { return this->answer(std::move(request)); })
    {
        std::ranges::sort(this->keys);
        this->server.start();
    }

    asio::awaitable<http_response> answer(std::shared_ptr<http_request> request)
    {
        ++this->calls;
        http_response response(boost::beast::http::status::ok, 11);
        if (!this->eras.empty())
        {
            response.set("Store-Era", this->eras.front());
            if (this->eras.size() > 1)
            {
                this->eras.erase(this->eras.begin());
            }
        }
        if (request->target().starts_with("/kv-watch"))
        {
            response.body() = this->watch_answer;
            co_return response;
        }
        auto wanted = parameters_of(std::string_view(request->target().data(),
                                                     request->target().size()));
        std::vector<std::string> matching;
        std::ranges::copy_if(this->keys, std::back_inserter(matching),
                             [&wanted](const std::string& key) {
                                 return key.starts_with(wanted["prefix"]) &&
                                        key > wanted["after"];
                             });
        json items = json::array();
        for (const std::string& key : matching)
        {
            if (items.size() < this->page)
            {
                items.push_back(
                    {{"key", key},
                     {"revision", this->spoiled == key ? json("odd") : json(5)},
                     {"value", to_base64(this->value)}});
            }
        }
        response.body() = json{
            {"items", items},
            {"hasMore", matching.size() > items.size()},
            {"currentRev", 7}}.dump();
        boost::algorithm::replace_all(response.body(), placeholder,
                                      this->odd_text);
        co_return response;
    }

    read_result read()
    {
        platform::store_source source(this->context.get_executor(),
                                      this->address());
        return this->run(source.read_all(2s));
    }

    read_result watch()
    {
        platform::store_source source(this->context.get_executor(),
                                      this->address());
        return this->run(source.watch(5, 100ms, 10s));
    }

    [[nodiscard]] http_address address() const
    {
        return http_address(
            "127.0.0.1:" +
            std::to_string(this->server.local_endpoint().port()));
    }

    read_result run(asio::awaitable<read_result> call)
    {
        std::optional<read_result> result;
        asio::co_spawn(this->context, std::move(call),
                       [&result](const std::exception_ptr&, read_result read)
                       { result = std::move(read); });
        for (int i = 0; i < 5000 && !result; ++i)
        {
            this->context.run_for(2ms);
        }
        return result.value_or(read_result{});
    }

    asio::io_context context;
    std::vector<std::string> keys;
    std::size_t page;
    std::size_t calls = 0;
    std::string value = "v";
    std::string watch_answer;

    /// The eras that the next answers name; the last one stays.
    std::vector<std::string> eras;

    /// Key of the item that has no usable revision.
    std::string spoiled;

    /// What the answers hold in place of each placeholder in a key.
    std::string odd_text;
    static constexpr const char* placeholder = "{odd}";
    node_http_server server;
};

std::vector<std::string> keys_of(const read_result& result)
{
    std::vector<std::string> keys;
    std::ranges::transform(result.update.changes, std::back_inserter(keys),
                           &item_change::key);
    return keys;
}

// Guards against a key that was not escaped as a query parameter: the same page
// was read again and again, and no later change was seen.
TEST_CASE("a page of the store may end at a key of any characters")
{
    std::vector<std::string> keys = {"op/config", "servers/a", "servers/zz"};
    for (const char* const odd :
         {"b&s",       "b+s",           "b s",   "b%26",  "b%",
          "b#s",       "b?s",           "b=s",   "b/s/t", "b//",
          "b\"s",      "b\\s",          "b;s",   "b\ts",  "b\r\ns",
          "b\xc3\xa9", "b\xe2\x82\xac", "b\x01", "&",     "%2F",
          ""})
    {
        keys.push_back(std::string("servers/") + odd);
    }
    keys.push_back("servers/" + std::string(192, '&'));
    paged_store store(keys, GENERATE(std::size_t(1), std::size_t(2)));
    const read_result result = store.read();
    CHECK(result.end == read_end::done);
    CHECK(result.update.revision == 7);
    CHECK(keys_of(result) == store.keys);
    CHECK(store.calls <= keys.size() + 1);
}

// Guards against a next page that begins at an older key because the last item
// of the page could not be read.
TEST_CASE(
    "a page that ends with an unreadable item is followed by the next one")
{
    paged_store store({"op/config", "servers/a", "servers/b", "servers/c"}, 1);
    store.spoiled = "servers/b";
    const read_result result = store.read();
    CHECK(result.end == read_end::done);
    CHECK(keys_of(result) ==
          std::vector<std::string>{"op/config", "servers/a", "servers/c"});
    CHECK(store.calls == 4);
}

// Guards against a key of another writer that makes its page, and so every
// replica on it, unreadable.
TEST_CASE("a key that is not valid text leaves the other items readable")
{
    const std::string odd = GENERATE(
        as<std::string>{}, "\\udcff", "\\uD800", "\\ud800\\u0041",
        "\\udc00\\ud800", "\xff", "\xc3", "\xed\xb3\xbf", "\xf5\x80\x80\x80");
    INFO(odd);
    paged_store store({"op/config", "servers/a", "servers/a{odd}", "servers/b",
                       "servers/b\"{odd}", "servers/c"},
                      GENERATE(2U, 3U, 10U));
    store.odd_text = odd;
    const read_result result = store.read();
    CHECK(result.end == read_end::done);
    const std::vector<std::string> keys = keys_of(result);
    for (const char* const one :
         {"op/config", "servers/a", "servers/b", "servers/c"})
    {
        CHECK(std::ranges::count(keys, one) >= 1);
    }
    CHECK(store.calls <= 6);
    store.watch_answer = R"({"events": [{"key": "servers/)" + odd +
                         R"(", "revision": 9, "deleted": true}],)" +
                         R"( "currentRev": 9})";
    const read_result watched = store.watch();
    CHECK(watched.end == read_end::done);
    CHECK(watched.update.revision == 9);
}

TEST_CASE("a page of which no key is valid text is not read forever")
{
    paged_store store({"op/config", "servers/{odd}1", "servers/{odd}2"}, 1);
    store.odd_text = "\\udcff";
    CHECK(store.read().end != read_end::done);
    CHECK(store.calls <= 3);
}

// Guards against hosts that no longer follow the store after more changes than
// fit into one answer.
TEST_CASE("a watch whose answer is too long leads to a full read")
{
    paged_store store({"op/config"}, 1);
    const std::string answer = R"({"events": [], "currentRev": 9})";
    store.watch_answer.assign(17'000'000, ' ');
    store.watch_answer += answer;
    CHECK(store.watch().end == read_end::compacted);
    store.watch_answer = answer;
    CHECK(store.watch().end == read_end::done);
}

// Guards against large entries of another writer that take the memory of every
// host.
TEST_CASE(
    "an entry that is too long for a replica is kept without its value, a "
    "configuration as it is")
{
    paged_store store({"op/config", "op/other", "servers/a"}, 2);
    store.value = std::string(1'000'000, 'x');
    const read_result result = store.read();
    REQUIRE(result.update.changes.size() == 3);
    CHECK(result.update.changes[0].value == store.value);
    CHECK(result.update.changes[1].value == "");
    CHECK(result.update.changes[2].value == "");
}

TEST_CASE("answers of the store name its era, or are of the first one")
{
    paged_store store({"op/config"}, 10);
    CHECK(store.read().era == store_era(0));
    store.eras = {"7"};
    const read_result read = store.read();
    CHECK(read.era == store_era(7));
    CHECK(read.update.position() == store_position{store_era(7), 7});
    store.watch_answer = R"({"events": [], "currentRev": 9})";
    const read_result watched = store.watch();
    CHECK(watched.update.position() == store_position{store_era(7), 9});
}

TEST_CASE("an era that cannot be used counts as the one before")
{
    const std::string odd =
        GENERATE(as<std::string>{}, "", "x", "-1", "1.5", "8 9",
                 "99999999999999999999999", "18446744073709551616");
    INFO(odd);
    paged_store store({"op/config", "servers/a"}, 1);
    // One for each page of a read.
    store.eras = {"7", "7", odd};
    platform::store_source source(store.context.get_executor(),
                                  store.address());
    CHECK(store.run(source.read_all(2s)).era == store_era(7));
    const read_result read = store.run(source.read_all(2s));
    CHECK(read.end == read_end::done);
    CHECK(read.update.era == store_era(7));
}

TEST_CASE("an earlier era is returned as it is")
{
    paged_store store({"op/config"}, 10);
    store.eras = {"7", "7", "6"};
    platform::store_source source(store.context.get_executor(),
                                  store.address());
    static_cast<void>(store.run(source.read_all(2s)));
    CHECK(store.run(source.read_all(2s)).update.era == store_era(6));
}

// Guards against a view that is put together from two eras.
TEST_CASE("a read during which the store is restored fails")
{
    paged_store store({"op/config", "servers/a", "servers/b"}, 1);
    store.eras = GENERATE(std::vector<std::string>{"1", "2"},
                          std::vector<std::string>{"1", "1", "2"});
    platform::store_source source(store.context.get_executor(),
                                  store.address());
    CHECK(store.run(source.read_all(2s)).end == read_end::unavailable);
    CHECK(store.run(source.read_all(2s)).end == read_end::done);
}

} // namespace
