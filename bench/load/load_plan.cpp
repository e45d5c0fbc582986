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

/// Stores a value; false when it is not accepted.
using store_value = std::function<bool(const std::string&)>;
using key_table = std::map<std::string, store_value, std::less<>>;

// Accepts a whole number.
template <class Target>
store_value whole(Target& target)
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
store_value number(double& target)
{
    return [&target](const std::string& text)
    {
        const char* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, target);
        return result.ec == std::errc{} && result.ptr == end && target >= 0.0;
    };
}

// Accepts any text that is not empty.
store_value word(std::string& target)
{
    return [&target](const std::string& text)
    {
        target = text;
        return !text.empty();
    };
}

// Accepts yes and no.
store_value yes_or_no(bool& target)
{
    return [&target](const std::string& text)
    {
        target = text == "yes";
        return text == "yes" || text == "no";
    };
}

key_table keys_of(load_plan& plan)
{
    return {{"seed", whole(plan.seed)},
            {"duration_ms", whole(plan.duration)},
            {"warm_up_ms", whole(plan.warm_up)}};
}

key_table keys_of(traffic_mix& mix)
{
    return {{"service", word(mix.service.value)},
            {"class", word(mix.request_class.value)},
            {"worth", number(mix.value.value)},
            {"rate", number(mix.rate)},
            {"deadline_ms", whole(mix.deadline)},
            {"least_coverage", number(mix.least_coverage)},
            {"execute", yes_or_no(mix.execute)},
            {"poison", yes_or_no(mix.poison)},
            {"repeat_share", number(mix.repeat_share)},
            {"resend_share", number(mix.resend_share)},
            {"resend_after_ms", whole(mix.resend_after)}};
}

key_table keys_of(rate_step& step)
{
    return {{"at_ms", whole(step.at)}, {"factor", number(step.factor)}};
}

key_table keys_of(control_action& action)
{
    return {{"at_ms", whole(action.at)},
            {"path", word(action.path)},
            {"body", word(action.body)}};
}

key_table keys_of(plan_window& window)
{
    return {{"from_ms", whole(window.from)}, {"until_ms", whole(window.until)}};
}

key_table keys_of(target_speed& targets)
{
    return {{"service_ms", number(targets.service_ms)},
            {"sigma", number(targets.sigma)}};
}

key_table keys_of(plan_bounds& bounds)
{
    return {{"extra_load", number(bounds.extra_load)},
            {"oracle_share", number(bounds.oracle_share)},
            {"crashes_per_request", number(bounds.crashes_per_request)},
            {"worthiest_refused", number(bounds.worthiest_refused)}};
}

// Returns the keys of a section, after adding the element that the first line
// of a named section stands for; empty when no such section is known.
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

// Stores one line; returns what is wrong with it, or nothing.
std::string store_line(const key_table& keys, const ini_line& line)
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
        faults += store_line(keys_of_section(plan, section, first), line);
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
