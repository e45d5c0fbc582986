/// The values in force, and the rule by which one takes the place of another.
#pragma once

#include "version/held_value.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

/// What came of offering a value.
enum class offer_outcome : std::uint8_t
{
    accepted,  ///< higher than what was held: now in force
    same,      ///< held already
    lower,     ///< older than what is or was in force: ignored
    conflict,  ///< the number in force with other bytes: refused
    malformed, ///< no number could be read: refused
};

/// Name of an outcome, for logs.
[[nodiscard]] std::string_view to_string(offer_outcome outcome);

/// Holds one value for each name. What it holds of a name never goes back to
/// a lower number; the outcome is a function of the bytes and of what is held.
class value_store
{
public:
    /// Judges a value and holds it when it is accepted.
    offer_outcome offer(const std::string& name, std::string bytes);

    /// Judges a number and digest without the bytes; `accepted` means that
    /// the bytes are worth having.
    [[nodiscard]] offer_outcome judge(const std::string& name,
                                      std::uint64_t number,
                                      std::uint64_t digest) const;

    /// Refuses everything below `number` from now on, because some process
    /// has held that number.
    void raise_floor(const std::string& name, std::uint64_t number);

    /// The value in force, or null.
    [[nodiscard]] std::shared_ptr<const held_value>
    find(const std::string& name) const;

    /// All values in force by name.
    [[nodiscard]] const std::map<std::string,
                                 std::shared_ptr<const held_value>>&
    all() const;

private:
    std::map<std::string, std::shared_ptr<const held_value>> values;
    std::map<std::string, std::uint64_t> floors;
};

/// Reads the number that a value gives itself: `version` of `[deployment]`,
/// or `revision` of `[targets]` and `[hosts]`.
[[nodiscard]] std::optional<std::uint64_t> value_number(std::string_view bytes);

/// Checks a value in full by its name. Returns the first fault, or an empty
/// text.
[[nodiscard]] std::string check_value(const std::string& name,
                                      std::string_view bytes);

} // namespace basilpath
