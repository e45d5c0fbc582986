/// JSON report of the counters of the stand-in.
#pragma once

#include <string>

namespace basilpath::standin
{

class leaf_group;
class platform_service;

/// Returns the counters of the leaves and the platform in the format described
/// in docs/operate/standin.md.
[[nodiscard]] std::string report_records(const leaf_group& leaves,
                                         const platform_service& platform);

} // namespace basilpath::standin
