#include "connection/peer_hub.hpp"

#include <catch2/catch.hpp>

#include <memory>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

constexpr peer_hub_options quick{20ms, 60ms, 200ms, 60'000ms};
constexpr std::chrono::seconds patience{30};

// Runs the event loop until `done`, and gives up after a long time.
template <class Condition>
bool run_until(boost::asio::io_context& context, Condition done)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        context.run_for(5ms);
        context.restart();
    }
    return done();
}

TEST_CASE("a link finds its peer again after it was away for long")
{
    boost::asio::io_context context(1);
    const auto ignore = [](const peer_address&, incarnation,
                           const wire::Envelope&) {
    };
    peer_hub sender(context, peer_address("127.0.0.1:0"), incarnation(1),
                    ignore, quick);
    int received = 0;
    const auto count =
        [&received](const peer_address&, incarnation, const wire::Envelope&)
    {
        ++received;
    };
    auto other = std::make_unique<peer_hub>(
        context, peer_address("127.0.0.1:0"), incarnation(2), count, quick);
    const peer_address address = other->address();
    const auto send = [&]
    {
        wire::Envelope envelope;
        envelope.mutable_soft();
        return sender.send(address, std::move(envelope));
    };
    send();
    REQUIRE(run_until(context, [&] { return received > 0; }));

    // Away for longer than a link stays in use by itself.
    other.reset();
    REQUIRE(run_until(context, [&] { return !sender.responsive(address); }));
    context.run_for(3 * quick.idle_limit);
    context.restart();

    other = std::make_unique<peer_hub>(context, address, incarnation(3), count,
                                       quick);
    const int before = received;
    CHECK(run_until(context,
                    [&]
                    {
                        send();
                        return received > before;
                    }));
}

TEST_CASE("a peer whose process has ended is known before any silence")
{
    constexpr peer_hub_options patient{20ms, 3'600'000ms, 3'600'000ms,
                                       3'600'000ms};
    boost::asio::io_context context(1);
    int received = 0;
    const auto count =
        [&received](const peer_address&, incarnation, const wire::Envelope&)
    {
        ++received;
    };
    peer_hub sender(context, peer_address("127.0.0.1:0"), incarnation(1), count,
                    patient);
    auto other = std::make_unique<peer_hub>(
        context, peer_address("127.0.0.1:0"), incarnation(2), count, patient);
    const peer_address address = other->address();
    wire::Envelope envelope;
    envelope.mutable_soft();
    CHECK(sender.send(address, envelope));
    REQUIRE(run_until(context, [&] { return received > 0; }));
    other.reset();
    CHECK(run_until(context, [&] { return !sender.responsive(address); }));
    CHECK_FALSE(sender.send(address, envelope));
    CHECK(sender.queued() == 0);
}

} // namespace
