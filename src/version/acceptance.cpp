#include "version/acceptance.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::array<std::string_view, 5> verdict_names = {
    "accepted", "same", "lower", "conflict", "faulty"};

// Says why bytes that are no document are refused.
acceptance refuse_faulty(parsed_document parsed,
                         const std::shared_ptr<const document>& in_force)
{
    const document_fault& first = parsed.faults.front();
    std::string reason = fmt::format("line {}: {} ({} faults)", first.line,
                                     first.message, parsed.faults.size());
    return {acceptance_verdict::faulty, in_force, std::move(parsed.faults),
            std::move(reason)};
}

} // namespace

acceptance judge_document(std::string_view bytes,
                          const std::shared_ptr<const document>& in_force)
{
    if (in_force &&
        in_force->digest.value == XXH3_64bits(bytes.data(), bytes.size()))
    {
        return {acceptance_verdict::same, in_force, {}, "already in force"};
    }
    parsed_document parsed = parse_document(bytes);
    if (!parsed.value)
    {
        return refuse_faulty(std::move(parsed), in_force);
    }
    if (!in_force || parsed.value->number > in_force->number)
    {
        return {acceptance_verdict::accepted, std::move(parsed.value), {}, ""};
    }
    const auto offered = parsed.value->number.value;
    if (parsed.value->number < in_force->number)
    {
        return {acceptance_verdict::lower,
                in_force,
                {},
                fmt::format("version {} is lower than version {} in force",
                            offered, in_force->number.value)};
    }
    return {acceptance_verdict::conflict,
            in_force,
            {},
            fmt::format("version {} is in force with other bytes (digest "
                        "{:016x}, offered {:016x}); publish a higher version",
                        offered, in_force->digest.value,
                        parsed.value->digest.value)};
}

std::string_view name_of(acceptance_verdict verdict)
{
    return verdict_names.at(static_cast<std::size_t>(verdict));
}

} // namespace basilpath
