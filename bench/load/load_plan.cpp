#include "load/load_plan.hpp"

#include "version/ini_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>

namespace basilpath::load
{

namespace
{

/// Parses and stores a value; returns false if it is invalid.
using value_setter = std::function<bool(const std::string&)>;
using key_table = std::map<std::string, value_setter, std::less<>>;

// Accepts an unsigned 32-bit integer.
template <class Target>
value_setter whole_number(Target& target)
{
    return [&target](const std::string& text)
    {
        std::uint32_t parsed = 0;
        const char* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, parsed);
        target = Target{parsed};
        return result.ec == std::errc{} && result.ptr == end;
    };
}

// Accepts a number that is not negative.
value_setter nonnegative_number(double& target)
{
    return [&target](const std::string& text)
    {
        const char* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, target);
        return result.ec == std::errc{} && result.ptr == end && target >= 0.0;
    };
}

// Accepts any text that is not empty.
value_setter nonempty_text(std::string& target)
{
    return [&target](const std::string& text)
    {
        target = text;
        return !text.empty();
    };
}

// Accepts yes and no.
value_setter yes_or_no(bool& target)
{
    return [&target](const std::string& text)
    {
        target = text == "yes";
        return text == "yes" || text == "no";
    };
}

key_table keys_of(load_plan& plan)
{
    return {{"seed", whole_number(plan.seed)},
            {"duration_ms", whole_number(plan.duration)},
            {"warm_up_ms", whole_number(plan.warm_up)}};
}

key_table keys_of(traffic_mix& mix)
{
    return {{"service", nonempty_text(mix.service.value)},
            {"class", nonempty_text(mix.request_class.value)},
            {"worth", nonnegative_number(mix.value.value)},
            {"rate", nonnegative_number(mix.rate)},
            {"deadline_ms", whole_number(mix.deadline)},
            {"least_coverage", nonnegative_number(mix.least_coverage)},
            {"execute", yes_or_no(mix.execute)},
            {"poison", yes_or_no(mix.poison)},
            {"repeat_share", nonnegative_number(mix.repeat_share)},
            {"resend_share", nonnegative_number(mix.resend_share)},
            {"resend_after_ms", whole_number(mix.resend_after)}};
}

key_table keys_of(rate_step& step)
{
    return {{"at_ms", whole_number(step.at)},
            {"factor", nonnegative_number(step.factor)}};
}

key_table keys_of(control_action& action)
{
    return {{"at_ms", whole_number(action.at)},
            {"path", nonempty_text(action.path)},
            {"body", nonempty_text(action.body)}};
}

key_table keys_of(plan_window& window)
{
    return {{"from_ms", whole_number(window.from)},
            {"until_ms", whole_number(window.until)}};
}

key_table keys_of(target_speed& targets)
{
    return {{"service_ms", nonnegative_number(targets.service_ms)},
            {"sigma", nonnegative_number(targets.sigma)}};
}

key_table keys_of(plan_bounds& bounds)
{
    return {
        {"extra_load", nonnegative_number(bounds.extra_load)},
        {"oracle_share", nonnegative_number(bounds.oracle_share)},
        {"crashes_per_request", nonnegative_number(bounds.crashes_per_request)},
        {"worthiest_refused", nonnegative_number(bounds.worthiest_refused)}};
}

// Returns the keys of a section; empty if the section is unknown. The first
// line of a named section appends an element to the plan.
key_table keys_of_section(load_plan& plan, const std::string& section,
                          bool first)
{
    const std::string kind = section.substr(0, section.find(' '));
    const std::string name =
        section.substr(std::min(section.size(), kind.size() + 1));
    const auto element = [first](auto& list) -> auto&
    {
        if (first)
        {
            list.emplace_back();
        }
        return list.back();
    };
    if (section == "load")
    {
        return keys_of(plan);
    }
    if (section == "targets")
    {
        return keys_of(plan.targets);
    }
    if (section == "bounds")
    {
        return keys_of(plan.bounds);
    }
    if (kind == "window")
    {
        plan_window& window = element(plan.windows);
        window.name = name;
        return keys_of(window);
    }
    if (kind == "mix")
    {
        traffic_mix& mix = element(plan.mixes);
        mix.name = name;
        return keys_of(mix);
    }
    if (kind == "step")
    {
        return keys_of(element(plan.steps));
    }
    if (kind == "action")
    {
        return keys_of(element(plan.actions));
    }
    return {};
}

// Stores the value of one line; returns an error message, empty on success.
std::string apply_line(const key_table& keys, const ini_line& line)
{
    const auto key = keys.find(line.key);
    if (key == keys.end())
    {
        return fmt::format("line {}: unknown key {} in [{}]; ", line.line,
                           line.key, line.section);
    }
    if (!key->second(line.value))
    {
        return fmt::format("line {}: {}={} is not accepted; ", line.line,
                           line.key, line.value);
    }
    return {};
}

} // namespace

std::optional<load_plan> parse_load_plan(std::string_view bytes,
                                         std::string* reason)
{
    const ini_text text = read_ini(bytes);
    load_plan plan;
    std::string faults;
    for (const ini_fault& fault : text.faults)
    {
        faults += fmt::format("line {}: {}; ", fault.line, fault.message);
    }
    std::string section;
    for (const ini_line& line : text.lines)
    {
        const bool first = line.section != section;
        section = line.section;
        faults += apply_line(keys_of_section(plan, section, first), line);
    }
    std::ranges::sort(plan.steps, {}, &rate_step::at);
    std::ranges::sort(plan.actions, {}, &control_action::at);
    if (!faults.empty())
    {
        *reason = faults;
        return std::nullopt;
    }
    return plan;
}

} // namespace basilpath::load
