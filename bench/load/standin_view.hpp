/// What the load tool reads from the stand-in before and after a run.
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

/// Clears the stand-in's records; false when it does not answer.
bool reset_records(control_channel& channel);

/// The document that the platform publishes; null when there is none.
[[nodiscard]] std::shared_ptr<const document>
read_published_document(control_channel& channel);

/// The target list that the platform publishes; null when there is none.
[[nodiscard]] std::shared_ptr<const target_list>
read_published_targets(control_channel& channel);

/// The record of a run that began at `start`; nothing when it cannot be had.
[[nodiscard]] std::optional<target_record> read_record(control_channel& channel,
                                                       microseconds start);

/// The later document with the index versions that only the earlier one names,
/// so that every answer of a run can be judged.
[[nodiscard]] document with_earlier_versions(const document& later,
                                             const document& earlier);

} // namespace basilpath::load
