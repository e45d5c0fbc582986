#include "process/process_usage.hpp"

#include <sys/resource.h>

namespace basilpath
{

namespace
{

constexpr double micro = 1e-6;
constexpr double kilobyte = 1024.0;

double to_seconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * micro;
}

} // namespace

process_usage read_process_usage()
{
    rusage used{};
    if (getrusage(RUSAGE_SELF, &used) != 0)
    {
        return {};
    }
    return {to_seconds(used.ru_utime) + to_seconds(used.ru_stime),
            static_cast<double>(used.ru_maxrss) * kilobyte};
}

} // namespace basilpath
