/// Lines on their way to a reader that may not keep up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilpath
{

/// Never waits for the reader. Lines are dropped whole while the buffer is
/// full, and their number is written when there is room again.
class output_buffer
{
public:
    /// Most bytes that wait.
    static constexpr std::size_t capacity = 262'144;

    /// Writes to this file descriptor.
    explicit output_buffer(int descriptor) : descriptor(descriptor) {}

    /// Adds a line, with its end. It is written when enough has come together,
    /// or at once when it is urgent.
    void add(std::string_view line, bool urgent);

    /// Writes as much as the reader takes now.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->dropped_count;
    }

private:
    int descriptor;
    std::string waiting;
    std::uint64_t dropped_count = 0;
    std::uint64_t dropped_told = 0;
};

} // namespace basilpath
