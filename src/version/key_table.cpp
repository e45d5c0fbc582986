#include "version/key_table.hpp"

#include "version/ini_section.hpp"
#include "version/ip_address.hpp"
#include "version/number.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::size_t identifier_limit = 40;

} // namespace

void key_table::identifier(std::string key, std::string* target)
{
    this->keys.push_back({std::move(key), std::string(identifier_accepts),
                          [target](std::string_view value)
                          {
                              *target = value;
                              return is_identifier(value);
                          }});
}

void key_table::address(std::string key, std::string* target)
{
    this->keys.push_back({std::move(key), "IP:PORT with a numeric IP",
                          [target](std::string_view value)
                          {
                              *target = value;
                              return is_address(value);
                          }});
}

void key_table::integer(std::string key, std::uint64_t least,
                        std::uint64_t most,
                        std::function<void(std::uint64_t)> store)
{
    this->keys.push_back(
        {std::move(key),
         fmt::format("a whole number from {} to {}", least, most),
         [least, most, store = std::move(store)](std::string_view value)
         {
             const auto parsed = to_number<std::uint64_t>(value, least, most);
             if (parsed)
             {
                 store(*parsed);
             }
             return parsed.has_value();
         }});
}

void key_table::number(std::string key, double least, double most,
                       double* target)
{
    this->keys.push_back(
        {std::move(key), fmt::format("a number from {} to {}", least, most),
         [=](std::string_view value)
         {
             const auto parsed = to_number<double>(value, least, most);
             *target = parsed.value_or(*target);
             return parsed.has_value();
         }});
}

void key_table::choice(std::string key, std::vector<std::string> words,
                       std::function<void(std::size_t)> store)
{
    std::string accepts = fmt::format("one of {}", fmt::join(words, ", "));
    this->keys.push_back(
        {std::move(key), std::move(accepts),
         [words = std::move(words),
          store = std::move(store)](std::string_view value)
         {
             const auto found = std::ranges::find(words, value);
             if (found == words.end())
             {
                 return false;
             }
             store(static_cast<std::size_t>(found - words.begin()));
             return true;
         }});
}

void key_table::require(std::string key)
{
    this->required.push_back(std::move(key));
}

void key_table::read(const ini_section& section,
                     std::vector<document_fault>& faults) const
{
    std::set<std::string_view> seen;
    for (const ini_line& line : section.lines)
    {
        if (!seen.insert(line.key).second)
        {
            faults.push_back(
                {line.line, fmt::format("{} is given twice", line.key)});
            continue;
        }
        this->apply(line.line, line.key, line.value, faults);
    }
    for (const std::string& key : this->required)
    {
        if (!seen.contains(key))
        {
            faults.push_back(
                {section.line, fmt::format("[{} {}] has no {}", section.kind,
                                           section.name, key)});
        }
    }
}

void key_table::read_words(int line, std::span<const std::string_view> words,
                           std::vector<document_fault>& faults) const
{
    std::set<std::string_view> seen;
    for (const std::string_view word : words)
    {
        const auto equals = std::min(word.find('='), word.size());
        const std::string_view key = word.substr(0, equals);
        if (!seen.insert(key).second)
        {
            faults.push_back({line, fmt::format("{} is given twice", key)});
            continue;
        }
        this->apply(line, key, word.substr(std::min(equals + 1, word.size())),
                    faults);
    }
}

bool key_table::knows(std::string_view key) const
{
    return std::ranges::find(this->keys, key, &known_key::name) !=
           this->keys.end();
}

// Stores one value or adds a fault that says what would be accepted.
void key_table::apply(int line, std::string_view key, std::string_view value,
                      std::vector<document_fault>& faults) const
{
    const auto known = std::ranges::find(this->keys, key, &known_key::name);
    if (known == this->keys.end())
    {
        faults.push_back(
            {line, fmt::format("unknown key {}; known keys are {}", key,
                               fmt::join(std::views::transform(
                                             this->keys, &known_key::name),
                                         ", "))});
        return;
    }
    if (!known->store(value))
    {
        faults.push_back(
            {line, fmt::format("{}={} is not accepted; it takes {}", key, value,
                               known->accepts)});
    }
}

bool is_identifier(std::string_view text)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= identifier_limit &&
           std::ranges::all_of(text, allowed);
}

} // namespace basilpath
