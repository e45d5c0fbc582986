/// How busy the other entry hosts are, by what they tell each other.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/runtime.hpp"
#include "process/system_state.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

namespace basilpath
{

/// Tells a few entry hosts, chosen anew each round, how busy this one is, and
/// keeps what others tell for a while. A hint for the directory: a wrong one
/// costs latency, never correctness. Used on the runtime's thread.
template <runtime Runtime, peer_transport Transport>
class load_exchange
{
public:
    using time_point = typename Runtime::clock::time_point;

    /// Hosts told in one round.
    static constexpr std::size_t round_size = 8;

    /// Time between two rounds.
    static constexpr milliseconds round_interval{500};

    /// How long a host's load counts.
    static constexpr milliseconds load_lifetime{5'000};

    load_exchange(Runtime& clockwork, Transport& transport, host_id own)
        : clockwork(clockwork), transport(transport), own(std::move(own))
    {
    }

    /// Tells this host's load to hosts of the state.
    void tell(const system_state& state, double used)
    {
        this->used = used;
        if (!state.hosts)
        {
            return;
        }
        std::vector<const host*> others;
        for (const host& one : state.hosts->hosts)
        {
            if (one.id != this->own && !one.leaving &&
                !state.dead_hosts.contains(one.id))
            {
                others.push_back(&one);
            }
        }
        const std::size_t count = std::min(round_size, others.size());
        for (std::size_t i = 0; i < count; ++i)
        {
            const auto rest = others.size() - i;
            std::swap(others[i], others[i + this->clockwork.random() % rest]);
            wire::Envelope message;
            message.mutable_load()->set_host(this->own.value);
            message.mutable_load()->set_used(used);
            this->transport.send(others[i]->entry, std::move(message));
        }
    }

    /// Takes what another host tells.
    void receive(const wire::Load& load)
    {
        this->told[host_id(load.host())] = {std::clamp(load.used(), 0.0, 1.0),
                                            Runtime::clock::now()};
    }

    /// The loads that still count, this host's among them.
    std::map<host_id, double> loads()
    {
        const auto oldest = Runtime::clock::now() - load_lifetime;
        std::erase_if(this->told, [oldest](const auto& entry)
                      { return entry.second.at < oldest; });
        std::map<host_id, double> known;
        for (const auto& [id, one] : this->told)
        {
            known[id] = one.used;
        }
        known[this->own] = this->used;
        return known;
    }

private:
    /// What a host told last.
    struct told_load
    {
        double used = 0.0;
        time_point at;
    };

    Runtime& clockwork;
    Transport& transport;
    host_id own;
    double used = 0.0;
    std::map<host_id, told_load> told;
};

} // namespace basilpath
