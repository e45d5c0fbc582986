/// A bounded buffer of lines for a reader that may be slow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilpath
{

/// Never blocks on the reader. A full buffer drops whole lines and writes their
/// number once there is room again.
class output_buffer
{
public:
    /// Size of the buffer in bytes.
    static constexpr std::size_t capacity = 262'144;

    /// Writes to this file descriptor.
    explicit output_buffer(int descriptor) : descriptor(descriptor) {}

    /// Adds a line including its newline. Writes the buffer when it holds
    /// enough bytes, or at once when the line is urgent.
    void add(std::string_view line, bool urgent);

    /// Writes as much as is possible without blocking.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->dropped_count;
    }

private:
    int descriptor;
    std::string pending;
    std::uint64_t dropped_count = 0;
    std::uint64_t dropped_reported = 0;
};

} // namespace basilpath
