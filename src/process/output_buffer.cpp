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

// Bytes per write; batching saves system calls.
constexpr std::size_t write_bytes = PIPE_BUF;

// Returns whether a write of up to PIPE_BUF bytes does not block.
bool is_writable(int descriptor)
{
    pollfd request{descriptor, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

void output_buffer::add(std::string_view line, bool urgent)
{
    if (this->pending.size() + line.size() > capacity)
    {
        ++this->dropped_count;
        this->flush();
        return;
    }
    if (this->dropped_count > this->dropped_reported)
    {
        this->pending +=
            fmt::format("level=warning event=log_lines_dropped "
                        "count={}\n",
                        this->dropped_count - this->dropped_reported);
        this->dropped_reported = this->dropped_count;
    }
    this->pending += line;
    if (urgent || this->pending.size() >= write_bytes)
    {
        this->flush();
    }
}

void output_buffer::flush()
{
    std::size_t written = 0;
    while (written < this->pending.size() && is_writable(this->descriptor))
    {
        const std::size_t count =
            std::min(this->pending.size() - written, write_bytes);
        const auto result =
            ::write(this->descriptor, this->pending.data() + written, count);
        if (result <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    this->pending.erase(0, written);
}

} // namespace basilpath
