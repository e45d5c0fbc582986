/// The keys that one section of a document accepts.
#pragma once

#include "version/document_parser.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

struct ini_line;
struct ini_section;

/// A list of known keys, each with what it accepts and where its value goes.
class key_table
{
public:
    /// A name of small letters, digits and hyphens.
    void identifier(std::string key, std::string* target);

    /// `IP:PORT` with a numeric IP.
    void address(std::string key, std::string* target);

    /// A whole number from `least` to `most`.
    void integer(std::string key, std::uint64_t least, std::uint64_t most,
                 std::function<void(std::uint64_t)> store);

    /// A number from `least` to `most`.
    void number(std::string key, double least, double most, double* target);

    /// One of the words; `store` is given the index of the word.
    void choice(std::string key, std::vector<std::string> words,
                std::function<void(std::size_t)> store);

    /// Makes a key mandatory.
    void require(std::string key);

    /// Reads the lines of a section and adds a fault for each key that is
    /// unknown, given twice, missing or has a value that is not accepted.
    void read(const ini_section& section,
              std::vector<document_fault>& faults) const;

    /// Reads words of the form `key=value` from one line.
    void read_words(int line, std::span<const std::string_view> words,
                    std::vector<document_fault>& faults) const;

    /// Tells whether the table has the key.
    [[nodiscard]] bool knows(std::string_view key) const;

private:
    /// What a key accepts and how its value is stored.
    struct known_key
    {
        std::string name;
        std::string accepts;
        std::function<bool(std::string_view)> store;
    };

    void apply(int line, std::string_view key, std::string_view value,
               std::vector<document_fault>& faults) const;

    std::vector<known_key> keys;
    std::vector<std::string> required;
};

/// Tells whether a text is a name of 1 to 40 small letters, digits and
/// hyphens.
[[nodiscard]] bool is_identifier(std::string_view text);

/// What `is_identifier` accepts, for messages.
inline constexpr std::string_view identifier_accepts =
    "1 to 40 characters of a-z, 0-9 and -";

} // namespace basilpath
