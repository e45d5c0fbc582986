/// Calls to the stand-in before and after a run.
#pragma once

#include "load/control_channel.hpp"
#include "load/target_record.hpp"

#include <memory>
#include <optional>
#include <string>

namespace basilpath
{
struct document;
struct target_list;
} // namespace basilpath

namespace basilpath::load
{

/// Clears the stand-in's records; returns false on failure.
bool reset_records(control_channel& channel);

/// Reads the document that the platform publishes; null if there is none.
[[nodiscard]] std::shared_ptr<const document>
read_published_document(control_channel& channel);

/// Reads the target list that the platform publishes; null if there is none.
[[nodiscard]] std::shared_ptr<const target_list>
read_published_targets(control_channel& channel);

/// Reads the record of a run that began at `start`; nullopt on failure.
[[nodiscard]] std::optional<target_record> read_record(control_channel& channel,
                                                       microseconds start);

/// Returns the later document with the index versions that only the earlier one
/// contains, so that the checks cover every answer of a run.
[[nodiscard]] document with_earlier_versions(const document& later,
                                             const document& earlier);

} // namespace basilpath::load
