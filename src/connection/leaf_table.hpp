/// All leaves that the state in force names.
#pragma once

#include "connection/leaf_state.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace basilpath
{

struct shard;
struct system_state;

/// Keeps one `leaf_state` for each leaf. A leaf that leaves the document lives
/// on as long as a session holds it.
class leaf_table
{
public:
    /// Takes over limits, addresses and leaving marks of a new state.
    void apply(const system_state& state);

    /// The leaves of a shard that have an address and are not leaving.
    [[nodiscard]] std::vector<std::shared_ptr<leaf_state>>
    replicas(const shard& of) const;

    /// All leaves, by id.
    [[nodiscard]] const std::unordered_map<leaf_id,
                                           std::shared_ptr<leaf_state>>&
    all() const;

private:
    std::unordered_map<leaf_id, std::shared_ptr<leaf_state>> leaves;
};

} // namespace basilpath
