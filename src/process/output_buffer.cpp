#include "process/output_buffer.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace basilpath
{

namespace
{

// Bytes that come together before they are written, to save system calls.
constexpr std::size_t write_bytes = PIPE_BUF;

// Tells whether a write of up to PIPE_BUF bytes would not block.
bool takes_bytes(int descriptor)
{
    pollfd watched{descriptor, POLLOUT, 0};
    return ::poll(&watched, 1, 0) == 1 && (watched.revents & POLLOUT) != 0;
}

} // namespace

void output_buffer::add(std::string_view line, bool urgent)
{
    if (this->waiting.size() + line.size() > capacity)
    {
        ++this->dropped_count;
        this->flush();
        return;
    }
    if (this->dropped_count > this->dropped_told)
    {
        this->waiting += fmt::format("level=warning event=log_lines_dropped "
                                     "count={}\n",
                                     this->dropped_count - this->dropped_told);
        this->dropped_told = this->dropped_count;
    }
    this->waiting += line;
    if (urgent || this->waiting.size() >= write_bytes)
    {
        this->flush();
    }
}

void output_buffer::flush()
{
    std::size_t written = 0;
    while (written < this->waiting.size() && takes_bytes(this->descriptor))
    {
        const std::size_t count =
            std::min(this->waiting.size() - written, write_bytes);
        const auto taken =
            ::write(this->descriptor, this->waiting.data() + written, count);
        if (taken <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(taken);
    }
    this->waiting.erase(0, written);
}

} // namespace basilpath
