#include "connection/recent_latency.hpp"

#include <algorithm>
#include <span>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr microseconds window = 2s;
constexpr std::size_t samples_needed = 4;

} // namespace

void recent_latency::add(instant now, microseconds latency)
{
    this->samples[this->added % capacity] = {now, latency};
    ++this->added;
}

std::optional<microseconds> recent_latency::median(instant now) const
{
    std::array<microseconds, capacity> inside{};
    std::size_t count = 0;
    for (const sample& one :
         std::span(this->samples.data(), std::min(this->added, capacity)))
    {
        if (now - one.at <= window)
        {
            inside[count++] = one.latency;
        }
    }
    if (count < samples_needed)
    {
        return std::nullopt;
    }
    const auto middle = inside.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(inside.begin(), middle,
                     inside.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

void recent_latency::clear()
{
    this->added = 0;
}

} // namespace basilpath
