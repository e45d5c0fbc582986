/// Resource usage of this process.
#pragma once

namespace basilpath
{

/// Processor time and peak memory since the start of the process.
struct process_usage
{
    double cpu_seconds = 0.0;
    double peak_resident_bytes = 0.0;
};

/// Reads the usage from the kernel; zeros when that fails.
[[nodiscard]] process_usage read_process_usage();

} // namespace basilpath
