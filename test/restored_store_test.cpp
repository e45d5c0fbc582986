/// The store comes back from a copy of itself: its revisions begin again at
/// lower ones.
#include "item_decoder.hpp"
#include "node/connection/peer_datagram.hpp"
#include "node/process/deferred_changes.hpp"
#include "node/process/departed_replicas.hpp"
#include "node/process/restored_items.hpp"
#include "node/process/store_view.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

item_update full(std::uint64_t era, store_revision revision,
                 std::vector<item_change> items)
{
    return {0, revision, std::move(items), store_era(era)};
}

item_update since(std::uint64_t era, store_revision after,
                  store_revision revision, std::vector<item_change> changes)
{
    return {after, revision, std::move(changes), store_era(era)};
}

/// A view and the changes that it passed on.
struct recorded_view
{
    std::vector<std::string> changes;
    std::vector<bool> restored;
    store_view view{
        [this](const item_change& one)
        {
            this->changes.push_back(one.key + "=" + one.value.value_or("gone"));
            this->restored.push_back(one.restored);
        }};

    update_result apply(const item_update& update)
    {
        this->changes.clear();
        this->restored.clear();
        return this->view.apply(update, std::nullopt);
    }
};

using strings = std::vector<std::string>;

// Guards against hosts that stay on an old configuration after the store came
// back from a copy.
TEST_CASE("a restored store replaces a view of larger revisions")
{
    recorded_view host;
    host.apply(full(1, 300, {{"config", "14", 290}, {"leaf", "a", 295}}));
    CHECK(host.apply(full(2, 120, {{"config", "11", 90}, {"new", "b", 110}})) ==
          update_result::applied);
    CHECK(host.changes == strings{"leaf=gone", "config=11", "new=b"});
    CHECK(host.restored == std::vector<bool>{true, true, true});
    CHECK(host.view.view().position() == store_position{store_era(2), 120});

    // What is written then counts, though its revision is lower than before.
    CHECK(host.apply(since(2, 120, 130, {{"config", "17", 125}})) ==
          update_result::applied);
    CHECK(host.changes == strings{"config=17"});
    CHECK(host.restored == std::vector<bool>{false});
    CHECK(host.view.restore_count() == 1);
}

// Guards against changes that are missed for good because the restored store
// had passed the old revision before the host came back to it.
TEST_CASE("a watch of the era before does not continue in the next one")
{
    recorded_view host;
    host.apply(full(1, 300, {{"config", "14", 290}}));
    CHECK(host.apply(since(2, 300, 310, {{"leaf", "a", 305}})) ==
          update_result::gap);
    CHECK(host.view.view().position() == store_position{store_era(1), 300});
    CHECK(host.changes.empty());
}

TEST_CASE("no update of an earlier era is applied, however large its revision")
{
    recorded_view host;
    host.apply(full(2, 100, {{"config", "17", 90}}));
    CHECK(host.apply(full(1, 900, {{"config", "14", 800}})) ==
          update_result::past_era);
    CHECK(host.apply(since(1, 50, 900, {{"config", "14", 800}})) ==
          update_result::past_era);
    CHECK(host.apply(full(2, 99, {})) == update_result::outdated);
    CHECK(host.changes.empty());
}

TEST_CASE("a host of another era is sent all items")
{
    recorded_view host;
    host.apply(full(2, 100, {{"config", "17", 90}, {"leaf", "a", 95}}));
    const item_cache& cache = host.view.view();
    CHECK(cache.since({store_era(1), 99}).after == 0);
    CHECK(cache.since({store_era(1), 99}).changes.size() == 2);
    host.apply(since(2, 100, 105, {{"config", "18", 105}}));
    CHECK(cache.since({store_era(2), 100}).after == 100);
    CHECK(cache.since({store_era(2), 100}).changes.size() == 1);
    CHECK(cache.since({store_era(2), 100}).era == store_era(2));
}

TEST_CASE("the first view of a host follows no restored store")
{
    recorded_view host;
    host.apply(full(4, 100, {{"config", "17", 90}}));
    CHECK(host.restored == std::vector<bool>{false});
    CHECK(host.view.restore_count() == 0);
}

TEST_CASE("other hosts hear of a restored store that has the same items")
{
    recorded_view host;
    host.apply(full(1, 100, {}));
    std::vector<store_position> announced;
    host.view.on_advance([&announced](store_position before)
                         { announced.push_back(before); });
    host.apply(full(2, 40, {}));
    CHECK(announced ==
          std::vector<store_position>{{store_era(1), store_revision(100)}});
}

// Guards against an item that one host holds for good because the host that
// told it of its removal had never held it.
TEST_CASE("the removal of an item that is not held is passed on")
{
    recorded_view first;
    recorded_view second;
    // The item is removed between the pages that the two hosts read.
    first.apply(full(1, 130, {{"b", "1", 120}}));
    second.apply(full(1, 130, {{"a", "1", 110}, {"b", "1", 120}}));
    first.apply(since(1, 130, 131, {{"a", std::nullopt, 131}}));
    second.apply(first.view.view().since({store_era(1), 130}));
    CHECK(second.changes == strings{"a=gone"});
}

TEST_CASE("items that are removed at one revision are all passed on")
{
    recorded_view first;
    recorded_view second;
    const item_update both = full(1, 10, {{"a", "1", 5}, {"b", "1", 6}});
    first.apply(both);
    second.apply(both);
    first.apply(
        since(1, 10, 12, {{"a", std::nullopt, 12}, {"b", std::nullopt, 12}}));
    second.apply(first.view.view().since({store_era(1), 10}));
    CHECK(second.changes == strings{"a=gone", "b=gone"});
}

peer_datagram datagram_at(std::uint64_t era)
{
    peer_datagram sent;
    sent.from.address = peer_address("10.0.0.1:7380");
    sent.position = {store_era(era), 41};
    sent.age = 250ms;
    return sent;
}

TEST_CASE("datagrams carry the era, and those without one are of the first")
{
    const std::uint64_t era =
        GENERATE(0ULL, 1ULL, 7ULL, std::numeric_limits<std::uint64_t>::max());
    const bool with_update = GENERATE(false, true);
    peer_datagram sent = datagram_at(era);
    if (with_update)
    {
        sent.update = since(era, 40, 41, {{"config", "c", 41}});
    }
    const std::string bytes = encode_datagram(sent, instant{});
    const auto read = decode_datagram(bytes, instant{});
    REQUIRE(read);
    CHECK(read->position == sent.position);
    if (with_update)
    {
        REQUIRE(read->update);
        CHECK(read->update->position() == sent.position);
        CHECK(read->update->changes.size() == 1);
    }
    for (std::size_t length = 0; length < bytes.size(); ++length)
    {
        CHECK_FALSE(decode_datagram(bytes.substr(0, length), instant{}));
    }
}

TEST_CASE("updates carry the era")
{
    const auto read =
        decode_update(encode_update(full(3, 41, {{"config", "c", 41}})));
    REQUIRE(read);
    CHECK(read->position() == store_position{store_era(3), 41});
    const auto first = decode_update(encode_update(full(0, 41, {})));
    REQUIRE(first);
    CHECK(first->era == store_era(0));
}

TEST_CASE("a deferred change is followed when its wait ends, unless its item "
          "is written again")
{
    deferred_changes deferred;
    deferred.add({"a", std::nullopt, 5}, 2s, instant(0s));
    deferred.add({"b", std::nullopt, 5}, 4s, instant(0s));
    CHECK(deferred.count() == 2);
    CHECK(deferred.take_due(instant(1'999ms)).empty());
    CHECK(deferred.drop("a"));
    CHECK_FALSE(deferred.drop("a"));
    CHECK(deferred.take_due(instant(3s)).empty());

    // A later change of the item has the same wait.
    deferred.add({"b", "x", 7}, 4s, instant(3s));
    CHECK(deferred.contains("b"));
    CHECK_FALSE(deferred.contains("a"));

    // The store is restored once more.
    deferred.restart(instant(3s));
    CHECK(deferred.take_due(instant(6'999ms)).empty());
    const auto due = deferred.take_due(instant(7s));
    REQUIRE(due.size() == 1);
    CHECK(due[0].key == "b");
    CHECK(due[0].value == "x");
    CHECK(deferred.count() == 0);
}

constexpr milliseconds registration_timeout{3'600};

replica registered(std::int64_t started, std::int64_t sequence, bool leaving)
{
    replica one;
    one.id = leaf_id("i-1");
    one.started = started;
    one.sequence = sequence;
    one.leaving = leaving;
    return one;
}

// Returns whether a host that last saw `known` follows an item at once.
bool follows(const decoded_item& item, const std::optional<replica>& known,
             bool listed)
{
    const auto found = known ? std::optional(known_replica{*known, listed})
                             : std::optional<known_replica>();
    return !restored_item_wait(item, found, registration_timeout);
}

// Guards against requests to a leaf whose draining the copy has lost.
TEST_CASE("a leaving replica does not come back by an earlier registration")
{
    const replica leaving = registered(1'000, 15, true);
    CHECK_FALSE(follows(registered(1'000, 10, false), leaving, true));
    CHECK_FALSE(follows(registered(900, 99, false), leaving, true));
    // The same without counts.
    CHECK_FALSE(follows(registered(0, 0, false), registered(0, 0, true), true));
    // It has registered again, or has started again.
    CHECK(follows(registered(1'000, 16, true), leaving, true));
    CHECK(follows(registered(2'000, 1, false), leaving, true));
    // The copy is not older.
    CHECK(follows(leaving, leaving, true));
}

TEST_CASE("a removed replica does not come back by an earlier registration")
{
    const replica removed = registered(1'000, 15, false);
    CHECK_FALSE(follows(registered(1'000, 10, false), removed, false));
    CHECK_FALSE(follows(removed, removed, false));
    CHECK(follows(registered(1'000, 16, false), removed, false));
    CHECK(follows(registered(2'000, 1, false), removed, false));
    CHECK(follows(removed, std::nullopt, false));
    // One that is silent is removed by the store before its wait ends.
    CHECK(restored_item_wait(removed, known_replica{removed, false},
                             registration_timeout) > registration_timeout);
}

// Guards against a leaving replica that is used again while what the store lost
// is written once more, in the old order.
TEST_CASE("a repeated registration does not end the wait of its item")
{
    const known_replica leaving{registered(1'000, 15, true), true};
    deferred_changes deferred;
    const auto admit = [&](const decoded_item& item, bool restored, instant now)
    {
        item_change change{"servers/i-1", "", 5};
        change.restored = restored;
        return deferred.admit(change, item, leaving, registration_timeout, now);
    };
    CHECK_FALSE(admit(registered(1'000, 10, false), true, instant(0s)));
    CHECK_FALSE(admit(registered(1'000, 12, false), false, instant(1s)));
    CHECK(deferred.take_due(instant(4s)).empty());
    SECTION("a value that cannot be used changes nothing")
    {
        CHECK(admit(unusable_item{"odd"}, false, instant(2s)));
        CHECK(deferred.count() == 1);
    }
    SECTION("its last registration ends it")
    {
        CHECK(admit(registered(1'000, 16, true), false, instant(2s)));
        CHECK(deferred.count() == 0);
    }
    SECTION("its removal is followed at once")
    {
        CHECK(admit(replica_removed{leaf_id("i-1")}, false, instant(2s)));
        CHECK(deferred.count() == 0);
    }
}

TEST_CASE("a replica that the copy lacks is used until it is due again")
{
    const replica known = registered(1'000, 15, false);
    const decoded_item lacking = replica_removed{leaf_id("i-1")};
    CHECK_FALSE(follows(lacking, known, true));
    CHECK(follows(lacking, known, false));
    CHECK(follows(lacking, std::nullopt, false));
}

TEST_CASE("an evacuation that the copy lacks stays in force for a while")
{
    const failure_domain domain("a");
    CHECK_FALSE(follows(domain_evacuation{domain, false}, std::nullopt, false));
    CHECK(follows(domain_evacuation{domain, true}, std::nullopt, false));
}

TEST_CASE("departed replicas are forgotten after a minute")
{
    departed_replicas departed;
    departed.note(registered(1'000, 15, false), instant(0s));
    departed.expire(instant(60s));
    REQUIRE(departed.find(leaf_id("i-1")));
    CHECK(departed.find(leaf_id("i-1"))->sequence == 15);
    departed.expire(instant(61s));
    CHECK_FALSE(departed.find(leaf_id("i-1")));
}

TEST_CASE("the count of a replica's registrations is read from its entry")
{
    const auto item = platform::decode_item(
        {"servers/i-1",
         R"({"backend":"s","address":"127.0.0.1:9","zone":"a","slots":2,)"
         R"("state":"ready","seq":41,"born":1000})",
         5});
    REQUIRE(std::holds_alternative<replica>(item));
    CHECK(std::get<replica>(item).sequence == 41);
}

} // namespace
