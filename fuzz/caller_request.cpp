/// Fuzz target: arbitrary bytes as the body of a caller's request.
#include "request/caller_request.hpp"
#include "version/document_parser.hpp"

#include <cstdint>
#include <cstdlib>

namespace
{

using namespace basilpath;

constexpr std::string_view configuration =
    "[deployment]\nname = fuzz\nversion = 1\n"
    "[service s]\nkind = fanout\n"
    "[service t]\nkind = lookup\naccepts_execute = yes\n"
    "[class c]\nservice = s\nworth = 1\ndeadline_ms = 100\nobjective_ms = 50\n"
    "[class d]\nservice = t\nworth = 1\ndeadline_ms = 100\nobjective_ms = 50\n"
    "[leaves g]\nconnections = 8\na = north\nb = south\n"
    "[shards s/1]\n0 = a\n[shards t/1]\n0 = b\n";

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    static const auto in_force = parse_document(configuration).value;
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    for (const request_kind kind : {request_kind::query, request_kind::execute})
    {
        const parsed_request parsed =
            parse_caller_request(body, kind, *in_force);
        if (!parsed.value)
        {
            continue;
        }
        const caller_request& one = *parsed.value;
        const request_class* const owner =
            in_force->find_class(one.request_class);
        const bool sound =
            owner != nullptr && owner->service == one.service &&
            one.budget.count() > 0 && one.budget <= owner->deadline &&
            one.least_coverage.value >= 0.0 && one.least_coverage.value <= 1.0;
        if (!sound)
        {
            std::abort();
        }
    }
    return 0;
}
