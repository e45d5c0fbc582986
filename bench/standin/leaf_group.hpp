/// All leaves of the document in force at the stand-in platform.
#pragma once

#include "standin/target_leaf.hpp"
#include "version/document.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilpath::standin
{

/// Each leaf has its own loopback address and all have the same port.
class leaf_group
{
public:
    /// With `listening` false the leaves have addresses and nothing listens
    /// there, so that long target lists cost nothing.
    leaf_group(boost::asio::io_context& context, const leaf_options& options,
               std::uint16_t port, bool listening);

    /// Takes over a document: new leaves start, and all learn what they hold.
    void assign(const document& configuration);

    /// Says which leaves are published as leaving from now on.
    void set_leaving(const std::set<leaf_id>& leaves);

    /// The target list as the platform publishes it.
    [[nodiscard]] std::string target_list_text(std::uint64_t revision) const;

    /// The leaf, or null when there is none of this name.
    [[nodiscard]] std::shared_ptr<target_leaf> find(const leaf_id& id) const;

    /// A share of all leaves, or of one service's when `service` is not empty,
    /// chosen by the seed.
    [[nodiscard]] std::vector<leaf_id>
    choose(double share, std::uint64_t seed, const service_name& service) const;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const std::map<leaf_id, std::shared_ptr<target_leaf>>&
    leaves() const;
    [[nodiscard]] const std::set<leaf_id>& leaving() const;
    [[nodiscard]] const execution_log& executions() const;
    void reset_records();

private:
    /// What a document says of one leaf.
    struct assignment
    {
        std::set<held_shard> shards;
        bool lookup = false;
    };

    void add_leaf(const leaf& description, bool lookup);
    [[nodiscard]] static std::map<leaf_id, assignment>
    assignments(const document& configuration);

    boost::asio::io_context& context;
    leaf_options options;
    std::uint16_t common_port;
    bool listening;
    std::shared_ptr<execution_log> executed;
    std::map<leaf_id, std::shared_ptr<target_leaf>> by_id;
    std::map<leaf_id, std::string> addresses;
    std::map<leaf_id, std::set<service_name>> services;
    std::set<leaf_id> leaving_now;
};

} // namespace basilpath::standin
