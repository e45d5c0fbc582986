#include "standin/leaf_group.hpp"

#include "version/index_version.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>

namespace basilpath::standin
{

namespace
{

constexpr std::size_t hosts_per_net = 250;
constexpr std::uint32_t fanout_items = 3;
constexpr std::uint32_t lookup_items = 1;

// Returns the loopback address of the leaf with this index.
std::string leaf_ip(std::size_t index)
{
    return fmt::format("127.1.{}.{}", index / hosts_per_net,
                       1 + index % hosts_per_net);
}

} // namespace

leaf_group::leaf_group(boost::asio::io_context& context,
                       const leaf_options& options, std::uint16_t port,
                       bool listening)
    : context(context), options(options), common_port(port),
      listening(listening), executed(std::make_shared<execution_log>())
{
}

std::map<leaf_id, leaf_group::assignment>
leaf_group::assignments(const document& configuration)
{
    std::map<leaf_id, assignment> all;
    for (const auto& [name, service] : configuration.services)
    {
        for (const auto& version : service.versions)
        {
            for (const shard& part : version->shards)
            {
                for (const leaf_id& id : part.leaves)
                {
                    assignment& one = all[id];
                    one.shards.insert({name, version->number, part.number});
                    one.lookup = service.kind == service_kind::lookup;
                }
            }
        }
    }
    return all;
}

void leaf_group::assign(const document& configuration)
{
    const auto named = assignments(configuration);
    for (const auto& [id, description] : configuration.leaves)
    {
        const auto found = named.find(id);
        const assignment assigned =
            found == named.end() ? assignment{} : found->second;
        if (!this->by_id.contains(id))
        {
            this->add_leaf(description, assigned.lookup);
        }
        this->by_id.at(id)->configure(description, assigned.shards);
        std::set<service_name>& names = this->services[id];
        names.clear();
        std::ranges::transform(assigned.shards,
                               std::inserter(names, names.end()),
                               &held_shard::service);
    }
}

// Creates a leaf. The first leaf that listens determines the common port.
void leaf_group::add_leaf(const leaf& description, bool lookup)
{
    const std::string ip = leaf_ip(this->by_id.size());
    auto one = std::make_shared<target_leaf>(
        this->context, this->options, description,
        lookup ? lookup_items : fanout_items, this->executed);
    if (this->listening)
    {
        this->common_port =
            one->start(fmt::format("{}:{}", ip, this->common_port));
    }
    this->addresses.emplace(description.id,
                            fmt::format("{}:{}", ip, this->common_port));
    this->by_id.emplace(description.id, std::move(one));
}

void leaf_group::set_leaving(const std::set<leaf_id>& leaves)
{
    this->leaving_now = leaves;
    for (const auto& [id, one] : this->by_id)
    {
        one->publish_leaving(leaves.contains(id));
    }
}

std::string leaf_group::target_list_text(std::uint64_t revision) const
{
    std::string text =
        fmt::format("[targets]\nrevision = {}\n\n[leaves]\n", revision);
    for (const auto& [id, address] : this->addresses)
    {
        fmt::format_to(std::back_inserter(text), "{} = {} {}\n", id.value,
                       address,
                       this->leaving_now.contains(id) ? "leaving" : "live");
    }
    return text;
}

std::shared_ptr<target_leaf> leaf_group::find(const leaf_id& id) const
{
    const auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : found->second;
}

std::vector<leaf_id> leaf_group::choose(double share, std::uint64_t seed,
                                        const service_name& service) const
{
    std::vector<leaf_id> chosen;
    for (const auto& [id, names] : this->services)
    {
        if (service.value.empty() || names.contains(service))
        {
            chosen.push_back(id);
        }
    }
    std::mt19937_64 generator(seed);
    std::ranges::shuffle(chosen, generator);
    const auto wanted = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(chosen.size())));
    chosen.resize(std::min(chosen.size(), wanted));
    return chosen;
}

std::uint16_t leaf_group::port() const
{
    return this->common_port;
}

const std::map<leaf_id, std::shared_ptr<target_leaf>>&
leaf_group::leaves() const
{
    return this->by_id;
}

const std::set<leaf_id>& leaf_group::leaving() const
{
    return this->leaving_now;
}

const execution_log& leaf_group::executions() const
{
    return *this->executed;
}

void leaf_group::reset_records()
{
    this->executed->reset();
    for (const auto& [id, one] : this->by_id)
    {
        one->reset_record();
    }
}

} // namespace basilpath::standin
