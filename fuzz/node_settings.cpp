/// Fuzz target: any bytes as the platform's settings file.
#include "node/connection/endpoint.hpp"
#include "settings_reader.hpp"

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace basilpath;
    const auto read = platform::read_settings(
        std::string(reinterpret_cast<const char*>(data), size));
    if (!read.settings)
    {
        if (read.reason.empty())
        {
            std::abort();
        }
        return 0;
    }
    const node_settings& one = *read.settings;
    const bool sound =
        to_endpoint(one.callers.value) && to_endpoint(one.readiness.value) &&
        to_endpoint(one.directory.value) && to_endpoint(one.store.value) &&
        std::isfinite(one.processor_share) && one.processor_share > 0 &&
        std::isfinite(one.link_mbps) && one.link_mbps > 0 &&
        one.shutdown_timeout.count() > 0 &&
        one.replica_drain_timeout.count() >= 0 &&
        std::isfinite(one.repeat_ratio) && one.repeat_ratio >= 0 &&
        std::isfinite(one.repeat_slack) && one.repeat_slack >= 0 &&
        one.repeat_window.count() > 0 && one.directory_max_age.count() >= 0;
    if (!sound)
    {
        std::abort();
    }
    return 0;
}
