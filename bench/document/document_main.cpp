/// basilpath-document: measures how large a document of many leaves is and how
/// long it takes to parse.
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

DEFINE_uint32(leaves, 32'000, "leaves of all services together");
DEFINE_uint32(services, 8, "services among which the leaves are divided");
DEFINE_uint32(replicas, 2, "leaves of each shard");
DEFINE_uint32(id_length, 14, "characters of a leaf's name, 6 to 40");
DEFINE_uint32(repeat, 9, "times the document is parsed");
DEFINE_string(print, "", "file to which the document is written");

namespace
{

using namespace basilpath;

constexpr std::uint32_t domains = 6;
constexpr std::uint32_t least_id_length = 6;
constexpr std::uint32_t most_id_length = 40;

// Names a leaf with the wanted number of characters.
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
        fmt::format_to(out, "{} = d{}\n", leaf_name(first + i), i % domains);
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
    const std::uint32_t each = FLAGS_leaves / FLAGS_services;
    for (std::uint32_t i = 0; i < FLAGS_services; ++i)
    {
        add_service(text, i, i * each, each);
    }
    return text;
}

// Parses the text and returns the processor time that took, in milliseconds.
double time_parse(const std::string& text, bool& good)
{
    const std::clock_t start = std::clock();
    const parsed_document parsed = parse_document(text);
    const std::clock_t end = std::clock();
    good = parsed.value != nullptr;
    return 1e3 * static_cast<double>(end - start) / CLOCKS_PER_SEC;
}

bool flags_good()
{
    return FLAGS_services > 0 && FLAGS_replicas > 0 && FLAGS_repeat > 0 &&
           FLAGS_leaves >= FLAGS_services &&
           FLAGS_id_length >= least_id_length &&
           FLAGS_id_length <= most_id_length;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the size and the parsing of a document");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!flags_good())
    {
        fmt::print(stderr, "a flag is out of its range\n");
        return EXIT_FAILURE;
    }
    const std::string text = make_document();
    if (!FLAGS_print.empty())
    {
        std::ofstream(FLAGS_print, std::ios::binary) << text;
    }
    std::vector<double> times;
    bool good = false;
    for (std::uint32_t i = 0; i < FLAGS_repeat; ++i)
    {
        times.push_back(time_parse(text, good));
    }
    std::ranges::sort(times);
    const double median = times[times.size() / 2];
    fmt::print("leaves {} id_length {} bytes {} bytes_per_leaf {:.1f} "
               "accepted {} parse_cpu_ms {:.1f} parse_cpu_us_per_leaf {:.2f}\n",
               FLAGS_leaves, FLAGS_id_length, text.size(),
               static_cast<double>(text.size()) / FLAGS_leaves,
               good ? "yes" : "no", median, 1e3 * median / FLAGS_leaves);
    return EXIT_SUCCESS;
}
