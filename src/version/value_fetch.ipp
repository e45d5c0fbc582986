#pragma once

#include "version/value_fetch.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace value_fetch_limits
{

inline constexpr std::chrono::milliseconds answer_time{1500};
inline constexpr std::size_t sections_per_request = 64;
inline constexpr std::size_t value_limit_bytes = 4U << 20U;

} // namespace value_fetch_limits

template <runtime Runtime, peer_transport Transport>
value_fetch<Runtime, Transport>::value_fetch(
    Runtime& owner, Transport& transport, peer_address source,
    wire::ValueDigest wanted, std::shared_ptr<const held_value> held)
    : transport(transport), source(std::move(source)),
      wanted(std::move(wanted)), held(std::move(held)), inbox(owner)
{
}

template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<std::optional<std::string>>
value_fetch<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    // Step 1. The list of sections.
    if (!this->ask({}))
    {
        co_return std::nullopt;
    }
    const auto list = co_await this->answer();
    if (!list)
    {
        co_return std::nullopt;
    }
    this->order.assign(list->order().begin(), list->order().end());
    // Step 2. What is held already.
    if (this->held)
    {
        for (const value_section& one : this->held->sections)
        {
            this->sections.emplace(one.digest, one.bytes);
        }
    }
    // Step 3. What is missing.
    if (!co_await this->collect())
    {
        co_return std::nullopt;
    }
    // Step 4. The whole, checked.
    co_return this->assemble();
}

template <runtime Runtime, peer_transport Transport>
void value_fetch<Runtime, Transport>::receive(wire::Sections message)
{
    if (message.digest() == this->wanted.digest())
    {
        this->inbox.push(std::move(message));
    }
    else
    {
        // The peer has gone on to another version: nothing more will come.
        this->inbox.wake();
    }
}

template <runtime Runtime, peer_transport Transport>
std::uint64_t value_fetch<Runtime, Transport>::bytes_moved() const
{
    return this->moved;
}

template <runtime Runtime, peer_transport Transport>
const wire::ValueDigest& value_fetch<Runtime, Transport>::value() const
{
    return this->wanted;
}

// Asks for some sections; for the list of sections when none are named.
template <runtime Runtime, peer_transport Transport>
bool value_fetch<Runtime, Transport>::ask(
    const std::vector<std::uint64_t>& sections)
{
    wire::Envelope envelope;
    wire::SectionRequest& request = *envelope.mutable_section_request();
    request.set_name(this->wanted.name());
    request.set_number(this->wanted.number());
    request.mutable_sections()->Assign(sections.begin(), sections.end());
    return this->transport.send(this->source, std::move(envelope));
}

template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<std::optional<wire::Sections>>
value_fetch<Runtime, Transport>::answer()
{
    co_return co_await this->inbox.pop_until(Runtime::clock::now() +
                                             value_fetch_limits::answer_time);
}

// Asks for missing sections until there are none; false when the peer does
// not answer or has no more of them.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<bool> value_fetch<Runtime, Transport>::collect()
{
    std::vector<std::uint64_t> lacking = this->missing();
    while (!lacking.empty())
    {
        lacking.resize(
            std::min(lacking.size(), value_fetch_limits::sections_per_request));
        if (!this->ask(lacking))
        {
            co_return false;
        }
        const auto message = co_await this->answer();
        if (!message || !this->take(*message))
        {
            co_return false;
        }
        lacking = this->missing();
    }
    co_return true;
}

// The sections of the list that are not here yet, each once.
template <runtime Runtime, peer_transport Transport>
std::vector<std::uint64_t> value_fetch<Runtime, Transport>::missing() const
{
    std::set<std::uint64_t> lacking;
    std::ranges::copy_if(this->order, std::inserter(lacking, lacking.end()),
                         [this](std::uint64_t digest)
                         { return !this->sections.contains(digest); });
    return {lacking.begin(), lacking.end()};
}

// Joins the sections; nothing when the digest of the whole is not the one that
// was told.
template <runtime Runtime, peer_transport Transport>
std::optional<std::string> value_fetch<Runtime, Transport>::assemble() const
{
    std::string bytes;
    for (const std::uint64_t digest : this->order)
    {
        bytes += this->sections.at(digest);
        if (bytes.size() > value_fetch_limits::value_limit_bytes)
        {
            return std::nullopt;
        }
    }
    if (content_digest(bytes) != this->wanted.digest())
    {
        return std::nullopt;
    }
    return bytes;
}

// Keeps the sections of a message whose digests are right; false when there
// is not one new among them.
template <runtime Runtime, peer_transport Transport>
bool value_fetch<Runtime, Transport>::take(const wire::Sections& message)
{
    bool any = false;
    for (const wire::Section& one : message.sections())
    {
        if (content_digest(one.bytes()) == one.digest())
        {
            this->moved += one.bytes().size();
            any |= this->sections.emplace(one.digest(), one.bytes()).second;
        }
    }
    return any;
}

} // namespace basilpath
