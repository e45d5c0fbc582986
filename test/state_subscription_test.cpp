#include "process/state_subscription.hpp"

#include "connection/peer_hub.hpp"
#include "sample_document.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using basilpath::test::make_document_text;

TEST_CASE("a process never replaces its document by a lower or faulty one")
{
    boost::asio::io_context context(1);
    peer_hub hub(context, peer_address("127.0.0.1:0"), incarnation(1),
                 [](const auto&, incarnation, const auto&) {});
    state_subscription subscription(context, hub, peer_address("127.0.0.1:1"),
                                    "test");
    int changes = 0;
    subscription.on_change([&changes](const auto&) { ++changes; });
    std::uint64_t digest = 0;
    const auto tell = [&](const std::string& document)
    {
        wire::State state;
        state.set_document(document);
        state.set_digest(++digest);
        subscription.receive(state);
        const auto& held = subscription.current()->configuration;
        return held ? held->number.value : 0;
    };
    CHECK_FALSE(subscription.current()->configuration);
    CHECK(tell("[deployment]\nversion = 9\n") == 0);
    CHECK(tell(make_document_text(5)) == 5);
    const auto held = subscription.current()->configuration;
    CHECK(tell(make_document_text(4)) == 5);
    CHECK(tell(make_document_text(5, 3)) == 5);
    CHECK(tell("nonsense") == 5);
    CHECK(tell("") == 5);
    CHECK(subscription.current()->configuration == held);
    CHECK(tell(make_document_text(6)) == 6);
    CHECK(changes == 7);
}

} // namespace
