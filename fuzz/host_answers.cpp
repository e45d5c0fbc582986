/// Fuzz target: arbitrary bytes as the answer of a host to basilpathctl.
#include "process/burn_page.hpp"
#include "process/burn_report.hpp"
#include "process/ctl_hosts.hpp"
#include "process/host_fetch.hpp"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace basilpath;
    const std::string body(reinterpret_cast<const char*>(data), size);
    const std::vector<host_reply> replies = {{"127.0.0.1:1", 200, body, ""},
                                             {"127.0.0.1:2", 200, body, ""}};
    for (const ctl_format format : {ctl_format::text, ctl_format::json})
    {
        (void)report_burn(replies, format);
        (void)report_status(replies, format);
        (void)report_drain("127.0.0.1:1", replies, format);
        (void)report_explain("r", replies, format);
    }
    (void)burn_to_page(read_burn_report(replies));
    return 0;
}
