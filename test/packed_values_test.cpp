/// Long values in messages between hosts.
#include "node/connection/packed_text.hpp"
#include "node/connection/packed_values.hpp"
#include "node/connection/peer_datagram.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <string>

namespace
{

using namespace basilpath;

// Text like that of a configuration of many routes.
std::string long_text()
{
    std::string text;
    for (int i = 0; i < 2'000; ++i)
    {
        text += R"({"prefix":"/r)" + std::to_string(i) +
                R"(/","backend":"service","timeoutMs":800},)";
    }
    return text;
}

std::string random_text(std::size_t size)
{
    std::mt19937_64 generator(1);
    std::string text(size, '\0');
    for (char& one : text)
    {
        one = static_cast<char>(generator());
    }
    return text;
}

item_update update_of(const std::string& value)
{
    return {5, 9, {{"op/config", value, 9, store_era(2)}}, store_era(2)};
}

TEST_CASE("packed text is unpacked whole")
{
    const std::string text = long_text();
    const std::string packed = pack_text(text);
    CHECK(packed.size() < text.size() / 4);
    CHECK(unpack_text(packed, text.size()) == text);
}

TEST_CASE("packed text that is not valid is refused")
{
    const std::string text = long_text();
    const std::string packed = pack_text(text);
    CHECK_FALSE(unpack_text(packed, text.size() + 1));
    CHECK_FALSE(unpack_text(packed, text.size() - 1));
    CHECK_FALSE(unpack_text(packed.substr(0, packed.size() / 2), text.size()));
    CHECK_FALSE(unpack_text("no zlib", 7));
    CHECK_FALSE(unpack_text(packed, std::size_t(1) << 40));
}

TEST_CASE("a long value is packed in an update and read again")
{
    const item_update sent = update_of(long_text());
    packed_values sender;
    packed_values receiver;
    const std::string bytes = encode_update(sent, sender);
    CHECK(bytes.size() < long_text().size() / 4);
    const auto read = decode_update(bytes, receiver);
    REQUIRE(read);
    CHECK(read->position() == sent.position());
    REQUIRE(read->changes.size() == 1);
    CHECK(read->changes[0].value == sent.changes[0].value);
    // The receiver passes on what it received.
    CHECK(receiver.of(read->changes[0]) == sender.of(sent.changes[0]));
    CHECK(encode_update(*read, receiver) == bytes);
}

TEST_CASE("short values and those that packing does not shorten are sent as "
          "they are")
{
    const std::string value =
        GENERATE(std::string("short"), random_text(9'000));
    packed_values packed;
    const item_update sent = update_of(value);
    CHECK(packed.of(sent.changes[0]).empty());
    const auto read = decode_update(encode_update(sent, packed));
    REQUIRE(read);
    CHECK(read->changes[0].value == value);
}

// Guards against hosts of an earlier release that cannot read any view.
TEST_CASE("values are not packed for a host that does not ask for it")
{
    const std::string value = long_text();
    const std::string bytes = encode_update(update_of(value));
    CHECK(bytes.find(value) != std::string::npos);
}

TEST_CASE("a later value of an item is packed anew")
{
    packed_values packed;
    item_update update = update_of(long_text());
    const std::string before = packed.of(update.changes[0]);
    update.changes[0].value = long_text() + "later";
    update.changes[0].revision = 10;
    CHECK(packed.of(update.changes[0]) != before);
    // A restored store assigns revisions again.
    const std::string later = packed.of(update.changes[0]);
    update.changes[0].value = long_text() + "restored";
    update.changes[0].era = store_era(3);
    CHECK(packed.of(update.changes[0]) != later);
}

TEST_CASE("a packed value with a wrong size makes an update unreadable")
{
    packed_values sender;
    std::string bytes = encode_update(update_of(long_text()), sender);
    // The size is the last number before the era.
    bytes[bytes.size() - 2] = static_cast<char>(bytes[bytes.size() - 2] + 1);
    packed_values receiver;
    CHECK_FALSE(decode_update(bytes, receiver));
}

} // namespace
