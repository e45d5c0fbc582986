#include "version/value_store.hpp"

#include "version/document_parser.hpp"
#include "version/host_list.hpp"
#include "version/target_list.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::string_view blanks = " \t\r";

// Removes blanks at both ends.
std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Takes the first line off `bytes`.
std::string_view take_line(std::string_view& bytes)
{
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    const std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
    return trim(line);
}

// Name of the key that holds the number in this section; empty for none.
std::string_view number_key(std::string_view section)
{
    if (section == "[deployment]")
    {
        return "version";
    }
    return section == "[targets]" || section == "[hosts]" ? "revision" : "";
}

} // namespace

std::string_view to_string(offer_outcome outcome)
{
    constexpr std::array<std::string_view, 5> names = {
        "accepted", "same", "lower", "conflict", "malformed"};
    return names[static_cast<std::size_t>(outcome)];
}

offer_outcome value_store::offer(const std::string& name, std::string bytes)
{
    const auto number = value_number(bytes);
    if (!number)
    {
        return offer_outcome::malformed;
    }
    const std::uint64_t digest = content_digest(bytes);
    const offer_outcome outcome = this->judge(name, *number, digest);
    if (outcome != offer_outcome::accepted)
    {
        return outcome;
    }
    auto value = std::make_shared<held_value>();
    value->bytes = std::move(bytes);
    value->number = *number;
    value->digest = digest;
    value->sections = cut_sections(value->bytes);
    auto& slot = this->values[name];
    // Invariant: what is in force never goes back.
    assert(!slot || slot->number < value->number);
    slot = std::move(value);
    return outcome;
}

offer_outcome value_store::judge(const std::string& name, std::uint64_t number,
                                 std::uint64_t digest) const
{
    const auto floor = this->floors.find(name);
    if (floor != this->floors.end() && number < floor->second)
    {
        return offer_outcome::lower;
    }
    const auto held = this->find(name);
    if (!held || number > held->number)
    {
        return offer_outcome::accepted;
    }
    if (number < held->number)
    {
        return offer_outcome::lower;
    }
    return digest == held->digest ? offer_outcome::same
                                  : offer_outcome::conflict;
}

void value_store::raise_floor(const std::string& name, std::uint64_t number)
{
    auto& floor = this->floors[name];
    floor = std::max(floor, number);
}

std::shared_ptr<const held_value>
value_store::find(const std::string& name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? nullptr : found->second;
}

const std::map<std::string, std::shared_ptr<const held_value>>&
value_store::all() const
{
    return this->values;
}

std::optional<std::uint64_t> value_number(std::string_view bytes)
{
    std::string_view wanted;
    while (!bytes.empty())
    {
        const std::string_view line = take_line(bytes);
        if (line.starts_with('['))
        {
            wanted = number_key(line);
            continue;
        }
        const std::size_t equals = line.find('=');
        if (wanted.empty() || equals == std::string_view::npos ||
            trim(line.substr(0, equals)) != wanted)
        {
            continue;
        }
        const std::string_view text = trim(line.substr(equals + 1));
        std::uint64_t number = 0;
        const char* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, number);
        return result.ec == std::errc{} && result.ptr == end
                   ? std::optional(number)
                   : std::nullopt;
    }
    return std::nullopt;
}

std::string check_value(const std::string& name, std::string_view bytes)
{
    std::string reason;
    if (name == "targets")
    {
        return parse_target_list(bytes, &reason) ? "" : reason;
    }
    if (name == "hosts")
    {
        return parse_host_list(bytes, &reason) ? "" : reason;
    }
    const parsed_document parsed = parse_document(bytes);
    if (parsed.value)
    {
        return "";
    }
    return fmt::format("line {}: {}", parsed.faults.front().line,
                       parsed.faults.front().message);
}

} // namespace basilpath
