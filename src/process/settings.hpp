/// Settings of one process: an INI file whose every key is checked.
#pragma once

#include "version/ip_address.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

struct ini_line;

/// A list of known keys, each with what it accepts and where its value goes.
/// Keys are named `section.key`.
class settings_reader
{
public:
    /// Any text that is not empty.
    void text(std::string name, std::string* target);

    /// A whole number from `least` to `most`.
    void integer(std::string name, std::int64_t least, std::int64_t most,
                 std::int64_t* target);

    /// A number from `least` to `most`.
    void number(std::string name, double least, double most, double* target);

    /// `IP:PORT`, with the IP as numbers; port 0 where `any_port`.
    void address(std::string name, std::string* target, bool any_port = false);

    /// One of the words given.
    void choice(std::string name, std::vector<std::string> words,
                std::string* target);

    /// Makes a key mandatory.
    void require(std::string name);

    /// Reads a file. Returns all faults, each with file, line, key and what is
    /// accepted; none when every key was good.
    [[nodiscard]] std::vector<std::string> read(const std::string& file);

private:
    /// What a key accepts and how its value is stored.
    struct known_key
    {
        std::string name;
        std::string accepts;
        std::function<bool(const std::string&)> store;
    };

    void add(std::string name, std::string accepts,
             std::function<bool(const std::string&)> store);
    [[nodiscard]] std::optional<std::string> apply(const std::string& file,
                                                   const ini_line& line);
    [[nodiscard]] std::vector<std::string>
    missing(const std::string& file,
            const std::vector<std::string>& seen) const;

    std::vector<known_key> keys;
    std::vector<std::string> required;
};

} // namespace basilpath
