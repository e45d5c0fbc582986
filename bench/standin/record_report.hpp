/// The records of the stand-in as JSON.
#pragma once

#include <string>

namespace basilpath::standin
{

class leaf_group;
class platform_service;

/// What the leaves and the platform have really seen, as
/// docs/operate/standin.md describes it.
[[nodiscard]] std::string report_records(const leaf_group& leaves,
                                         const platform_service& platform);

} // namespace basilpath::standin
