/// What the checks at the end of a run look at, and what they return.
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

/// A bound that was passed.
struct violation
{
    std::string check;
    std::size_t count = 0;

    /// The first case.
    std::string example;

    bool operator==(const violation&) const = default;
};

/// What callers saw of a run and what the stand-in's leaves saw.
struct check_input
{
    const load_plan& plan;
    const document& configuration;
    const target_record& record;
    const std::vector<std::shared_ptr<request_outcome>>& outcomes;
};

/// The mix that a request belongs to.
[[nodiscard]] const traffic_mix& mix_of(const check_input& input,
                                        const request_outcome& outcome);

/// The index version of this number, or null.
[[nodiscard]] const index_version* version_of(const service* wanted,
                                              version_number number);

} // namespace basilpath::load
