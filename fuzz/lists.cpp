/// Fuzz target: arbitrary bytes as a target list and as a host list.
#include "version/host_list.hpp"
#include "version/target_list.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace basilpath;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    std::string reason;
    if (!parse_target_list(bytes, &reason) && reason.empty())
    {
        std::abort();
    }
    reason.clear();
    if (!parse_host_list(bytes, &reason) && reason.empty())
    {
        std::abort();
    }
    return 0;
}
