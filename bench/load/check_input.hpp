/// Input and result of the checks at the end of a run.
#pragma once

#include "load/request_outcome.hpp"

#include <memory>
#include <string>
#include <vector>

namespace basilpath
{
struct document;
struct index_version;
struct service;
} // namespace basilpath

namespace basilpath::load
{

struct load_plan;
struct target_record;
struct traffic_mix;

/// A failed check.
struct violation
{
    std::string check;
    std::size_t count = 0;

    /// Description of the first case.
    std::string example;

    bool operator==(const violation&) const = default;
};

/// A run as its callers and the stand-in's leaves observed it.
struct check_input
{
    const load_plan& plan;
    const document& configuration;
    const target_record& record;
    const std::vector<std::shared_ptr<request_outcome>>& outcomes;
};

/// Returns the mix that a request belongs to.
[[nodiscard]] const traffic_mix& mix_of(const check_input& input,
                                        const request_outcome& outcome);

/// Returns the index version with this number; null if there is none or if
/// `wanted` is null.
[[nodiscard]] const index_version* version_of(const service* wanted,
                                              version_number number);

} // namespace basilpath::load
