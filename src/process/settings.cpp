#include "process/settings.hpp"

#include "process/file.hpp"
#include "version/ini_reader.hpp"
#include "version/number.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace basilpath
{

namespace
{

// Stores a number when it is in range.
template <class Number>
std::function<bool(const std::string&)>
store_in_range(Number least, Number most, Number* target)
{
    return [=](const std::string& text)
    {
        const auto parsed = to_number<Number>(text, least, most);
        if (!parsed)
        {
            return false;
        }
        *target = *parsed;
        return true;
    };
}

} // namespace

void settings_reader::text(std::string name, std::string* target)
{
    this->add(std::move(name), "any text",
              [target](const std::string& value)
              {
                  *target = value;
                  return !value.empty();
              });
}

void settings_reader::integer(std::string name, std::int64_t least,
                              std::int64_t most, std::int64_t* target)
{
    this->add(std::move(name),
              fmt::format("a whole number from {} to {}", least, most),
              store_in_range(least, most, target));
}

void settings_reader::number(std::string name, double least, double most,
                             double* target)
{
    this->add(std::move(name),
              fmt::format("a number from {} to {}", least, most),
              store_in_range(least, most, target));
}

void settings_reader::address(std::string name, std::string* target,
                              bool any_port)
{
    this->add(std::move(name), "IP:PORT with a numeric IP",
              [target, any_port](const std::string& value)
              {
                  *target = value;
                  return is_address(value, any_port);
              });
}

void settings_reader::choice(std::string name, std::vector<std::string> words,
                             std::string* target)
{
    std::string accepts = fmt::format("one of {}", fmt::join(words, ", "));
    this->add(std::move(name), std::move(accepts),
              [target, words = std::move(words)](const std::string& value)
              {
                  *target = value;
                  return std::ranges::find(words, value) != words.end();
              });
}

void settings_reader::require(std::string name)
{
    this->required.push_back(std::move(name));
}

std::vector<std::string> settings_reader::read(const std::string& file)
{
    const auto bytes = read_file(file);
    if (!bytes)
    {
        return {fmt::format("{}: cannot be read", file)};
    }
    const ini_text text = read_ini(*bytes);
    std::vector<std::string> faults;
    faults.reserve(text.faults.size());
    for (const ini_fault& fault : text.faults)
    {
        faults.push_back(
            fmt::format("{}:{}: {}", file, fault.line, fault.message));
    }
    std::vector<std::string> seen;
    for (const ini_line& line : text.lines)
    {
        if (auto fault = this->apply(file, line))
        {
            faults.push_back(std::move(*fault));
        }
        seen.push_back(line.section + "." + line.key);
    }
    std::ranges::move(this->missing(file, seen), std::back_inserter(faults));
    return faults;
}

void settings_reader::add(std::string name, std::string accepts,
                          std::function<bool(const std::string&)> store)
{
    this->keys.push_back(
        {std::move(name), std::move(accepts), std::move(store)});
}

std::optional<std::string> settings_reader::apply(const std::string& file,
                                                  const ini_line& line)
{
    const std::string name = line.section + "." + line.key;
    const auto known = std::ranges::find(this->keys, name, &known_key::name);
    if (known == this->keys.end())
    {
        return fmt::format(
            "{}:{}: unknown key {}; known keys are {}", file, line.line, name,
            fmt::join(std::views::transform(this->keys, &known_key::name),
                      ", "));
    }
    if (!known->store(line.value))
    {
        return fmt::format("{}:{}: {}={} is not accepted; it takes {}", file,
                           line.line, name, line.value, known->accepts);
    }
    return std::nullopt;
}

std::vector<std::string>
settings_reader::missing(const std::string& file,
                         const std::vector<std::string>& seen) const
{
    std::vector<std::string> faults;
    for (const std::string& name : this->required)
    {
        if (std::ranges::find(seen, name) == seen.end())
        {
            faults.push_back(fmt::format("{}: {} is missing", file, name));
        }
    }
    return faults;
}

} // namespace basilpath
