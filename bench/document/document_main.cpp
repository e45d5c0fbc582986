/// basilpath-document: measures the size and the parse time of a document with
/// many leaves.
#include "version/document_parser.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

DEFINE_uint32(leaves, 32'000, "total number of leaves");
DEFINE_uint32(services, 8, "number of services that share the leaves equally");
DEFINE_uint32(replicas, 2, "leaves per shard");
DEFINE_uint32(id_length, 14, "characters of a leaf name, 6 to 40");
DEFINE_uint32(repeat, 9, "number of times the document is parsed");
DEFINE_string(print, "", "file to which the document is written");

namespace
{

using namespace basilpath;

constexpr std::uint32_t domain_count = 6;
constexpr std::uint32_t min_id_length = 6;
constexpr std::uint32_t max_id_length = 40;

// Returns a leaf name of `FLAGS_id_length` characters.
std::string leaf_name(std::uint32_t number)
{
    return fmt::format("l{:0>{}}", number, FLAGS_id_length - 1);
}

// Appends a service whose leaves are numbered from `first`.
void add_service(std::string& text, std::uint32_t number, std::uint32_t first,
                 std::uint32_t count)
{
    auto out = std::back_inserter(text);
    fmt::format_to(out,
                   "[service s{0}]\nkind = fanout\n[class c{0}]\n"
                   "service = s{0}\nworth = 1\ndeadline_ms = 170\n"
                   "objective_ms = 170\n[leaves s{0}]\nslots = 2\n"
                   "connections = 25\nconnect_us = 6000\n",
                   number);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        fmt::format_to(out, "{} = d{}\n", leaf_name(first + i),
                       i % domain_count);
    }
    fmt::format_to(out, "[shards s{}/1]\n", number);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        if (i % FLAGS_replicas == 0)
        {
            fmt::format_to(out, "{}{} =", i == 0 ? "" : "\n",
                           i / FLAGS_replicas);
        }
        fmt::format_to(out, " {}", leaf_name(first + i));
    }
    text += '\n';
}

std::string make_document()
{
    std::string text = "[deployment]\nname = large\nversion = 1\n";
    const std::uint32_t leaves_per_service = FLAGS_leaves / FLAGS_services;
    for (std::uint32_t i = 0; i < FLAGS_services; ++i)
    {
        add_service(text, i, i * leaves_per_service, leaves_per_service);
    }
    return text;
}

// Parses the text and returns the CPU time in milliseconds.
double time_parse(const std::string& text, bool& accepted)
{
    const std::clock_t start = std::clock();
    const parsed_document parsed = parse_document(text);
    const std::clock_t end = std::clock();
    accepted = parsed.value != nullptr;
    return 1e3 * static_cast<double>(end - start) / CLOCKS_PER_SEC;
}

bool flags_valid()
{
    return FLAGS_services > 0 && FLAGS_replicas > 0 && FLAGS_repeat > 0 &&
           FLAGS_leaves >= FLAGS_services && FLAGS_id_length >= min_id_length &&
           FLAGS_id_length <= max_id_length;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "measures the size and the parse time of a document");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!flags_valid())
    {
        fmt::print(stderr, "a flag is out of range\n");
        return EXIT_FAILURE;
    }
    const std::string text = make_document();
    if (!FLAGS_print.empty())
    {
        std::ofstream(FLAGS_print, std::ios::binary) << text;
    }
    std::vector<double> times;
    bool accepted = false;
    for (std::uint32_t i = 0; i < FLAGS_repeat; ++i)
    {
        times.push_back(time_parse(text, accepted));
    }
    std::ranges::sort(times);
    const double median = times[times.size() / 2];
    fmt::print("leaves {} id_length {} bytes {} bytes_per_leaf {:.1f} "
               "accepted {} parse_cpu_ms {:.1f} parse_cpu_us_per_leaf {:.2f}\n",
               FLAGS_leaves, FLAGS_id_length, text.size(),
               static_cast<double>(text.size()) / FLAGS_leaves,
               accepted ? "yes" : "no", median, 1e3 * median / FLAGS_leaves);
    return EXIT_SUCCESS;
}
