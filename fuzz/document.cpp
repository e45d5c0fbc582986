/// Fuzz target: arbitrary bytes as a configuration document. An accepted
/// document must satisfy the invariants of its parts.
#include "version/acceptance.hpp"
#include "version/document_diff.hpp"
#include "version/index_version.hpp"

#include <cstdint>
#include <cstdlib>

namespace
{

using namespace basilpath;

// Aborts when an invariant does not hold.
void require(bool invariant)
{
    if (!invariant)
    {
        std::abort();
    }
}

void check_version(const index_version& version, const document& owner)
{
    require(!version.shards.empty() && version.total_weight > 0.0);
    for (std::size_t i = 0; i < version.shards.size(); ++i)
    {
        const shard& one = version.shards[i];
        require(one.number.value == i && !one.leaves.empty());
        for (const leaf_id& id : one.leaves)
        {
            require(owner.find_leaf(id) != nullptr);
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const parsed_document parsed = parse_document(bytes);
    require((parsed.value == nullptr) == !parsed.faults.empty());
    if (!parsed.value)
    {
        return 0;
    }
    for (const auto& [name, service] : parsed.value->services)
    {
        require(!service.versions.empty());
        for (const auto& version : service.versions)
        {
            check_version(*version, *parsed.value);
        }
    }
    require(diff_documents(*parsed.value, *parsed.value).empty());
    require(judge_document(bytes, parsed.value).verdict ==
            acceptance_verdict::same);
    return 0;
}
