#include "node/process/node_settings.hpp"

namespace basilpath
{

bool node_settings::same_addresses(const node_settings& other) const
{
    return this->callers == other.callers &&
           this->readiness == other.readiness &&
           this->directory == other.directory && this->peers == other.peers &&
           this->links == other.links && this->store == other.store;
}

void node_settings::apply_reloadable(const node_settings& other)
{
    this->shutdown_timeout = other.shutdown_timeout;
    this->replica_drain_timeout = other.replica_drain_timeout;
    this->registration_timeout = other.registration_timeout;
    this->directory_max_age = other.directory_max_age;
    this->domains = other.domains;
    this->memory_bytes = other.memory_bytes;
    this->seeds = other.seeds;
    this->repeat_ratio = other.repeat_ratio;
    this->repeat_slack = other.repeat_slack;
    this->repeat_window = other.repeat_window;
    this->cold_bound = other.cold_bound;
}

peer_address peer_address_of(const std::string& ip, const port_range& ports)
{
    return peer_address(ip + ":" + std::to_string(ports.first));
}

peer_address link_address_of(const std::string& ip, const port_range& ports)
{
    return ports.last > ports.first
               ? peer_address(ip + ":" + std::to_string(ports.first + 1))
               : peer_address{};
}

} // namespace basilpath
