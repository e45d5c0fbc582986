/// Updates of a view that overlap with what it has, or lack part of it.
#include "node/process/store_view.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using strings = std::vector<std::string>;

/// A view that records the changes that it passes on.
struct recorded_view
{
    strings changes;
    store_view view{
        [this](const item_change& one)
        {
            this->changes.push_back(one.key + "=" + one.value.value_or("gone"));
        }};
};

// Guards against a host that keeps a removed leaf for good, because the host
// that sent it the changes had never held that leaf.
TEST_CASE("a removal reaches hosts through one that never held the item")
{
    const item_change registered{"servers/i-1", "a", 101};
    const item_change removed{"servers/i-1", std::nullopt, 102};
    recorded_view through;
    through.view.apply({0, 100, {}}, std::nullopt);
    // The item was written and removed since; only the removal is sent.
    through.view.apply({100, 102, {removed}}, std::nullopt);

    recorded_view holding;
    holding.view.apply({0, 100, {}}, std::nullopt);
    holding.view.apply({100, 101, {registered}}, std::nullopt);
    holding.view.apply(through.view.view().since({store_era(), 101}),
                       std::nullopt);
    CHECK(holding.view.view().position().revision == 102);
    CHECK(holding.changes == strings{"servers/i-1=a", "servers/i-1=gone"});
}

// Guards against a leaf that is removed, or an evacuation that is over, and
// comes back for a moment by a late answer to a watch.
TEST_CASE("changes that were followed are not followed again")
{
    const item_change written{"op/evacuate/a", "1", 101};
    const item_change removed{"op/evacuate/a", std::nullopt, 102};
    const item_change later{"servers/i-1", "a", 103};
    const store_revision end = GENERATE(102, 103);
    recorded_view host;
    host.view.apply({0, 100, {}}, std::nullopt);
    host.view.apply({100, 102, {written, removed}}, std::nullopt);
    host.changes.clear();
    // Of a watch that began before another host sent these changes.
    item_update late{100, end, {written, removed}};
    if (end == later.revision)
    {
        late.changes.push_back(later);
    }
    CHECK(host.view.apply(late, std::nullopt) == update_result::applied);
    CHECK(host.changes ==
          (end == later.revision ? strings{"servers/i-1=a"} : strings{}));
    CHECK(host.view.view().position().revision == end);
}

} // namespace
