/// What this process has used of its host.
#pragma once

namespace basilpath
{

/// Processor time and memory since the start of the process.
struct process_usage
{
    double cpu_seconds = 0.0;
    double peak_resident_bytes = 0.0;
};

/// Asks the system; zeros when it does not tell.
[[nodiscard]] process_usage read_process_usage();

} // namespace basilpath
