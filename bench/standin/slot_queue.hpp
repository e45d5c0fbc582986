/// Admission of requests at one leaf.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace basilpath::standin
{

/// Identifies a job within its leaf.
using job_number = std::uint64_t;

enum class admission : std::uint8_t
{
    run,
    wait,
    shed
};

/// Slots with a bounded FIFO queue in front of them.
class slot_queue
{
public:
    slot_queue(std::size_t slots, std::size_t queue_limit);

    /// Assigns a slot or a place in the queue to the job, or sheds it.
    admission offer(job_number job);

    /// Removes a running or waiting job. Returns the job that takes over its
    /// slot, if any.
    std::optional<job_number> finish(job_number job);

    /// Removes all jobs.
    void clear();

    /// Changes the number of slots; running jobs keep theirs.
    void resize(std::size_t slots);

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    std::size_t slots;
    std::size_t queue_limit;
    std::unordered_set<job_number> in_slots;
    std::deque<job_number> queue;
};

} // namespace basilpath::standin
