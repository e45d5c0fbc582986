/// The leaves of the document that the stand-in platform publishes.
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

/// Owns the leaves; each has its own loopback address, all share one port.
class leaf_group
{
public:
    /// If `listening` is false, the leaves get addresses but open no sockets,
    /// so that long target lists need no resources.
    leaf_group(boost::asio::io_context& context, const leaf_options& options,
               std::uint16_t port, bool listening);

    /// Applies a document: starts new leaves and assigns shards to all leaves.
    void assign(const document& configuration);

    /// Replaces the set of leaves that are published as leaving.
    void set_leaving(const std::set<leaf_id>& leaves);

    /// Returns the target list in the format that the platform publishes.
    [[nodiscard]] std::string target_list_text(std::uint64_t revision) const;

    /// Returns the leaf, or null if the id is unknown.
    [[nodiscard]] std::shared_ptr<target_leaf> find(const leaf_id& id) const;

    /// Selects a share of the leaves at random with the seed. A `service` that
    /// is not empty restricts the selection to its leaves.
    [[nodiscard]] std::vector<leaf_id>
    choose(double share, std::uint64_t seed, const service_name& service) const;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const std::map<leaf_id, std::shared_ptr<target_leaf>>&
    leaves() const;
    [[nodiscard]] const std::set<leaf_id>& leaving() const;
    [[nodiscard]] const execution_log& executions() const;
    void reset_records();

private:
    /// Shards and service kind that a document assigns to one leaf.
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
