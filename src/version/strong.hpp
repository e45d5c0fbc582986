/// A strong typedef: identifiers and units of different kinds do not convert to
/// each other.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace basilpath
{

/// Wraps a value of type `Value`. Different tags make unrelated types;
/// comparison and hashing are those of the wrapped value.
template <class Value, class Tag>
struct strong
{
    using value_type = Value;

    Value value{};

    constexpr strong() = default;

    explicit constexpr strong(Value initial) : value(std::move(initial)) {}

    auto operator<=>(const strong&) const = default;
    bool operator==(const strong&) const = default;
};

} // namespace basilpath

template <class Value, class Tag>
struct std::hash<basilpath::strong<Value, Tag>>
{
    std::size_t operator()(const basilpath::strong<Value, Tag>& id) const
    {
        return std::hash<Value>{}(id.value);
    }
};
