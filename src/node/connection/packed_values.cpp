#include "node/connection/packed_values.hpp"

#include "node/connection/packed_text.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

// Values other than the configuration have a few hundred bytes.
constexpr std::size_t max_values = 4;

// A value is sent as it is unless its packed form is shorter than this part.
constexpr double max_packed_part = 0.8;

} // namespace

const std::string& packed_values::of(const item_change& change)
{
    static const std::string none;
    if (!change.value || change.value->size() < min_bytes)
    {
        return none;
    }
    const auto found = this->values.find(change.key);
    if (found != this->values.end() &&
        found->second.position == change.position())
    {
        return found->second.packed;
    }
    std::string packed = pack_text(*change.value);
    const double part = static_cast<double>(packed.size()) /
                        static_cast<double>(change.value->size());
    this->keep(change,
               part < max_packed_part ? std::move(packed) : std::string());
    return this->values[change.key].packed;
}

void packed_values::keep(const item_change& change, std::string packed)
{
    if (this->values.size() >= max_values && !this->values.contains(change.key))
    {
        this->values.erase(std::ranges::min_element(
            this->values, {},
            [](const auto& one) { return one.second.position; }));
    }
    this->values[change.key] = {change.position(), std::move(packed)};
}

} // namespace basilpath
