/// Agents in virtual time over a network in memory, with delay, loss and
/// partition, and a platform that can fail.
#pragma once

#include "process/agent.hpp"
#include "virtual_runtime.hpp"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilpath::test
{

using namespace std::chrono_literals;

/// What the platform of a test does with calls.
enum class platform_mode
{
    up,
    down,
    garbage,
    slow
};

/// The values of a platform, shared by the calls of all agents.
struct memory_platform
{
    std::map<std::string, platform_reply::value> values;
    platform_mode mode = platform_mode::up;

    void set(const std::string& name, std::string bytes)
    {
        auto& value = this->values[name];
        value = {value.revision + 1, std::move(bytes)};
    }
};

/// One agent's calls to the platform.
class memory_platform_client
{
public:
    memory_platform_client(virtual_runtime& owner, memory_platform& service)
        : owner(owner), service(service)
    {
    }

    boost::asio::awaitable<platform_reply>
    read(std::string name, std::optional<std::uint64_t> after,
         std::chrono::milliseconds wait)
    {
        ++this->call_count;
        const auto end = virtual_clock::now() + wait;
        co_await this->sleep(this->service.mode == platform_mode::slow ? 1500ms
                                                                       : 5ms);
        platform_reply reply;
        while (this->service.mode != platform_mode::down && !this->cut)
        {
            const auto& value = this->service.values[name];
            if (this->service.mode == platform_mode::garbage)
            {
                reply.content = {value.revision + 1000, "\x01 garbage"};
                co_return reply;
            }
            if (value.revision != after.value_or(0))
            {
                reply.content = value;
                co_return reply;
            }
            if (virtual_clock::now() >= end)
            {
                reply.unchanged = true;
                co_return reply;
            }
            co_await this->sleep(50ms);
        }
        reply.reason = "no answer";
        co_return reply;
    }

    std::uint64_t calls() const
    {
        return this->call_count;
    }

    /// Whether this agent does not reach the platform.
    bool cut = false;

private:
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        virtual_runtime::timer timer(this->owner.executor());
        timer.expires_after(time);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    virtual_runtime& owner;
    memory_platform& service;
    std::uint64_t call_count = 0;
};

/// Carries messages between the agents of a test.
class memory_network
{
public:
    using handler = std::function<void(const peer_address&, wire::Envelope)>;

    explicit memory_network(virtual_runtime& owner) : owner(owner) {}

    /// Sends a message unless it is lost; it arrives after 1 to 3 ms.
    void send(const peer_address& from, const peer_address& to,
              wire::Envelope message)
    {
        this->bytes += message.ByteSizeLong();
        const bool cut = this->side[from] != this->side[to];
        if (cut || this->owner.random() % 100 < this->loss_percent)
        {
            return;
        }
        boost::asio::co_spawn(this->owner.executor(),
                              this->deliver(from, to, std::move(message)),
                              boost::asio::detached);
    }

    std::map<peer_address, handler> handlers;

    /// Messages pass only between addresses of the same side.
    std::map<peer_address, int> side;
    unsigned loss_percent = 0;

    /// Time that every message takes, beside 1 to 3 ms.
    std::chrono::milliseconds delay{0};
    std::uint64_t bytes = 0;

private:
    boost::asio::awaitable<void> deliver(peer_address from, peer_address to,
                                         wire::Envelope message)
    {
        virtual_runtime::timer timer(this->owner.executor());
        timer.expires_after(
            this->delay +
            std::chrono::microseconds(1000 + this->owner.random() % 2000));
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        const auto found = this->handlers.find(to);
        if (found != this->handlers.end())
        {
            found->second(from, std::move(message));
        }
    }

    virtual_runtime& owner;
};

/// The sending half of one process on the network.
struct memory_transport
{
    memory_network& network;
    peer_address own;

    bool send(const peer_address& to, wire::Envelope message)
    {
        this->network.send(this->own, to, std::move(message));
        return true;
    }

    bool responsive(const peer_address&)
    {
        return true;
    }
};

/// One host: an agent and a process that subscribes to it.
struct memory_host
{
    using agent_type =
        agent<virtual_runtime, memory_transport, memory_platform_client>;

    memory_platform_client platform;
    memory_transport transport;
    peer_address process;
    std::shared_ptr<agent_type> logic;

    /// Number of the document that the process was told last, and whether it
    /// was ever told a lower one.
    std::uint64_t told = 0;
    bool reverted = false;

    /// Number of the first document that the process was told.
    std::uint64_t first = 0;

    /// Digest of the state that the process was told last.
    std::uint64_t digest = 0;
};

/// A fleet of agents `h0`, `h1`, ... in three failure domains.
class memory_fleet
{
public:
    explicit memory_fleet(std::size_t size, std::uint64_t seed = 1)
        : runtime(seed), network(runtime), size(size)
    {
        this->platform.set("hosts", host_list_text(1, size));
        this->platform.set("targets", "[targets]\nrevision = 1\n[leaves]\n");
        this->platform.set("document", document_text(1));
    }

    ~memory_fleet()
    {
        for (auto& [index, one] : this->hosts)
        {
            one->logic->stop();
        }
        // Whatever still sleeps wakes up, finds itself stopped, and ends.
        this->network.handlers.clear();
        this->run_for(20s);
    }

    memory_fleet(const memory_fleet&) = delete;
    memory_fleet& operator=(const memory_fleet&) = delete;

    /// Starts the agents of all hosts.
    void start_all()
    {
        for (std::size_t i = 0; i < this->size; ++i)
        {
            this->start(i);
        }
    }

    /// Starts one agent that knows nothing, and a process that subscribes.
    void start(std::size_t index)
    {
        const peer_address own = agent_address(index);
        const peer_address process(fmt::format("127.0.3.{}:9", index));
        agent_options options;
        options.id = host_id(fmt::format("h{}", index));
        options.start = incarnation(this->runtime.random());
        options.seeds = this->seeds;
        auto& slot = this->hosts[index];
        slot = std::make_unique<memory_host>(memory_host{
            memory_platform_client(this->runtime, this->platform),
            memory_transport{this->network, own}, process, nullptr});
        slot->logic = std::make_shared<memory_host::agent_type>(
            this->runtime, slot->transport, slot->platform, options,
            [this, index](log_level level, std::string_view event,
                          std::initializer_list<log_field> fields)
            { this->note(index, level, event, fields); });
        auto& logic = *slot->logic;
        this->network.handlers[own] =
            [&logic](const peer_address& from, wire::Envelope message)
        {
            logic.receive(from, incarnation(1), std::move(message));
        };
        this->network.handlers[process] =
            [this, index](const peer_address&, const wire::Envelope& message)
        {
            this->hear_state(index, message.state());
        };
        logic.start();
        this->subscribe(index);
    }

    /// Sends a subscription of the host's process.
    void subscribe(std::size_t index)
    {
        const memory_host& one = *this->hosts.at(index);
        wire::Envelope envelope;
        auto& message = *envelope.mutable_subscribe();
        message.set_digest(one.digest);
        if (one.told != 0)
        {
            auto& held = *message.add_held();
            held.set_name("document");
            held.set_number(one.told);
        }
        this->network.send(one.process, agent_address(index),
                           std::move(envelope));
    }

    /// Ends one agent without a word.
    void kill(std::size_t index)
    {
        auto& one = this->hosts.at(index);
        one->logic->stop();
        this->network.handlers.erase(agent_address(index));
        this->network.handlers.erase(one->process);
        this->gone.push_back(std::move(one));
        this->hosts.erase(index);
    }

    /// Puts hosts on a side of a partition.
    void move_to_side(std::size_t first, std::size_t last, int side)
    {
        for (std::size_t i = first; i < last; ++i)
        {
            this->network.side[agent_address(i)] = side;
            this->network.side[peer_address(fmt::format("127.0.3.{}:9", i))] =
                side;
        }
    }

    /// Cuts some agents off from the platform.
    void cut_from_platform(std::size_t first, std::size_t last, bool cut)
    {
        for (std::size_t i = first; i < last; ++i)
        {
            this->hosts.at(i)->platform.cut = cut;
        }
    }

    void run_for(virtual_clock::duration time)
    {
        const auto end = virtual_clock::now().time_since_epoch() + time;
        while (virtual_clock::now().time_since_epoch() < end)
        {
            // The processes renew their subscriptions each second.
            for (const auto& [index, one] : this->hosts)
            {
                this->subscribe(index);
            }
            this->runtime.run_until(std::min<virtual_clock::duration>(
                end, virtual_clock::now().time_since_epoch() + 1s));
        }
    }

    /// Number of the document in force at a host; 0 for none.
    std::uint64_t number_at(std::size_t index) const
    {
        const auto held =
            this->hosts.at(index)->logic->state().values.find("document");
        return held ? held->number : 0;
    }

    /// Hosts whose process was told this document last.
    std::size_t told(std::uint64_t number) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->hosts, [number](const auto& entry)
                                  { return entry.second->told == number; }));
    }

    /// Hosts that hold some other host for dead.
    std::size_t with_dead() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->hosts, [](const auto& entry)
            { return !entry.second->logic->state().members.dead().empty(); }));
    }

    /// Calls to the platform of all running agents.
    std::uint64_t calls() const
    {
        std::uint64_t total = 0;
        for (const auto& [index, one] : this->hosts)
        {
            total += one->platform.calls();
        }
        return total;
    }

    /// Whether any process was ever told a lower document than before.
    bool any_reverted() const
    {
        return std::ranges::any_of(this->hosts, [](const auto& entry)
                                   { return entry.second->reverted; });
    }

    static peer_address agent_address(std::size_t index)
    {
        return peer_address(fmt::format("127.0.2.{}:9", index));
    }

    static std::string host_list_text(std::uint64_t revision, std::size_t size)
    {
        std::string text = fmt::format("[hosts]\nrevision = {}\n", revision);
        for (std::size_t i = 0; i < size; ++i)
        {
            text += fmt::format(
                "[host h{0}]\nregion = south\ndomain = d{1}\n"
                "callers = 127.0.2.{0}:1\nentry = 127.0.2.{0}:2\n"
                "relay = 127.0.2.{0}:3\nagent = 127.0.2.{0}:9\nstate = live\n",
                i, i % 3);
        }
        return text;
    }

    /// The sample document under another number, with a line that differs.
    static std::string document_text(std::uint64_t number,
                                     const std::string& remark = "")
    {
        std::ifstream file(BASILPATH_SOURCE_DIR "/deploy/ratnapura.ini");
        std::string text(std::istreambuf_iterator<char>(file), {});
        const std::string line = "version = 1\n";
        text.replace(text.find(line), line.size(),
                     fmt::format("version = {}\n", number));
        return text + "; " + remark + "\n";
    }

    virtual_runtime runtime;
    memory_network network;
    memory_platform platform;
    std::size_t size;

    /// Agents that those started from now on ask first.
    std::vector<peer_address> seeds;
    std::map<std::size_t, std::unique_ptr<memory_host>> hosts;

    /// The events of all agents, one a line.
    std::string record;

private:
    void note(std::size_t index, log_level, std::string_view event,
              std::initializer_list<log_field> fields)
    {
        this->record +=
            fmt::format("{:>8} h{} {}",
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            virtual_clock::now().time_since_epoch())
                            .count(),
                        index, event);
        for (const log_field& one : fields)
        {
            this->record +=
                fmt::format(" {}={}", one.key, escape_log_value(one.value));
        }
        this->record += "\n";
    }

    void hear_state(std::size_t index, const wire::State& state)
    {
        auto& one = *this->hosts.at(index);
        one.digest = state.digest();
        const auto number = value_number(state.document());
        if (number)
        {
            one.reverted |= *number < one.told;
            one.first = one.first == 0 ? *number : one.first;
            one.told = *number;
        }
    }

    std::vector<std::unique_ptr<memory_host>> gone;
};

} // namespace basilpath::test
