/// Fetching one value from a peer, section by section.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/runtime.hpp"
#include "request/mailbox.hpp"
#include "version/held_value.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace basilpath
{

/// One value that a peer has told of and that is worth having. Lives until it
/// has arrived or the peer has stopped answering.
template <runtime Runtime, peer_transport Transport>
class value_fetch
    : public std::enable_shared_from_this<value_fetch<Runtime, Transport>>
{
public:
    /// `wanted` names the value; `held` is the one in force here, whose
    /// sections need not travel, or null.
    value_fetch(Runtime& owner, Transport& transport, peer_address source,
                wire::ValueDigest wanted,
                std::shared_ptr<const held_value> held);

    /// Runs to the end; returns the bytes, whose digest has been checked, or
    /// nothing.
    boost::asio::awaitable<std::optional<std::string>> run();

    /// Takes a message about the value of this name.
    void receive(wire::Sections message);

    /// Bytes of sections that travelled.
    [[nodiscard]] std::uint64_t bytes_moved() const;

    [[nodiscard]] const wire::ValueDigest& value() const;

private:
    using time_point = typename Runtime::clock::time_point;

    bool ask(const std::vector<std::uint64_t>& sections);
    boost::asio::awaitable<std::optional<wire::Sections>> answer();
    boost::asio::awaitable<bool> collect();
    [[nodiscard]] std::vector<std::uint64_t> missing() const;
    [[nodiscard]] std::optional<std::string> assemble() const;
    bool take(const wire::Sections& message);

    Transport& transport;
    peer_address source;
    wire::ValueDigest wanted;
    std::shared_ptr<const held_value> held;
    mailbox<Runtime, wire::Sections> inbox;
    std::vector<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::string> sections;
    std::uint64_t moved = 0;
};

} // namespace basilpath

#include "version/value_fetch.ipp"
