#include "process/metrics.hpp"

#include "golden.hpp"

#include <cmath>
#include <filesystem>
#include <regex>
#include <set>

namespace
{

using namespace basilpath;
using std::chrono::microseconds;

TEST_CASE("quantiles are right to the width of a step")
{
    latency_histogram one;
    CHECK(one.quantile(0.5) == microseconds(0));
    for (int i = 1; i <= 10'000; ++i)
    {
        one.record(microseconds(i * 10));
    }
    CHECK(one.count() == 10'000);
    CHECK(one.sum() == microseconds(500'050'000));
    for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999})
    {
        const double exact = share * 100'000;
        const auto found = static_cast<double>(one.quantile(share).count());
        CAPTURE(share, found);
        CHECK(std::abs(found - exact) < 0.05 * exact);
    }
}

TEST_CASE("latencies outside the scale are counted at its ends")
{
    latency_histogram one;
    one.record(microseconds(0));
    one.record(std::chrono::hours(1));
    CHECK(one.count() == 2);
    CHECK(one.quantile(0.0) == microseconds(10));
    CHECK(one.quantile(1.0) == std::chrono::seconds(60));
    CHECK(one.buckets().back().count == 1);
}

TEST_CASE("a merged histogram counts what both have counted")
{
    latency_histogram low;
    latency_histogram high;
    for (int i = 0; i < 100; ++i)
    {
        low.record(microseconds(100));
        high.record(microseconds(10'000));
    }
    latency_histogram both = low;
    both.merge(high);
    CHECK(both.count() == 200);
    CHECK(low.count() == 100);
    CHECK(both.quantile(0.25) < microseconds(110));
    CHECK(both.quantile(0.75) > microseconds(9'000));
    both.reset();
    CHECK(both.count() == 0);
}

TEST_CASE("the text exposition")
{
    metrics_registry registry;
    counter& requests = registry.add_counter(
        "basilpath_test_requests_total", "Requests.", {{"class", "a\"b\\c\n"}});
    requests.add();
    requests.add(2);
    registry.add_gauge("basilpath_test_load", "Load.").set(2.5);
    registry.add_histogram("basilpath_test_latency_seconds", "Latency.")
        .record(microseconds(1'500));
    CHECK(&registry.add_counter("basilpath_test_requests_total", "Requests.",
                                {{"class", "a\"b\\c\n"}}) == &requests);
    basilpath::test::check_golden("metrics.txt", registry.expose());
}

TEST_CASE("the number of series of one name is bounded")
{
    metrics_registry registry;
    counter* last = nullptr;
    for (int i = 0; i < 2'000; ++i)
    {
        last =
            &registry.add_counter("basilpath_test_requests_total", "Requests.",
                                  {{"number", std::to_string(i)}});
    }
    last->add();
    const std::string text = registry.expose();
    CHECK(std::ranges::count(text, '\n') ==
          static_cast<std::ptrdiff_t>(metrics_registry::series_limit) + 3);
    CHECK(text.find("{overflow=\"true\"} 1\n") != std::string::npos);
}

// Adds what the first group of the pattern matches in the file.
void collect(const std::filesystem::path& path, const std::regex& pattern,
             std::set<std::string>& found)
{
    std::ifstream file(path);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto begin = std::sregex_iterator(text.begin(), text.end(), pattern);
    for (auto match = begin; match != std::sregex_iterator(); ++match)
    {
        found.insert((*match)[1]);
    }
}

TEST_CASE("docs/metrics.md lists the metrics that the sources name")
{
    const std::filesystem::path root = BASILPATH_SOURCE_DIR;
    std::set<std::string> in_sources;
    const std::regex literal("\"(basilpath_[a-z_]*[a-z])\"");
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / "src"))
    {
        if (entry.is_regular_file())
        {
            collect(entry.path(), literal, in_sources);
        }
    }
    std::set<std::string> in_docs;
    collect(root / "docs/metrics.md", std::regex("\\| `(basilpath_[a-z_]+)`"),
            in_docs);
    CHECK(in_docs == in_sources);
}

} // namespace
