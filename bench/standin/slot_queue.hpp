/// Who works, who waits and who is shed at one leaf.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace basilpath::standin
{

/// Number of one job at one leaf.
using job_number = std::uint64_t;

enum class admission : std::uint8_t
{
    run,
    wait,
    shed
};

/// A number of slots and a bounded first-in-first-out queue before them.
class slot_queue
{
public:
    slot_queue(std::size_t slots, std::size_t queue_limit);

    /// Gives the job a slot or a place in the queue.
    admission offer(job_number job);

    /// Ends a job, running or waiting. Returns the job that now gets its slot.
    std::optional<job_number> finish(job_number job);

    /// Forgets all jobs.
    void clear();

    /// Sets another number of slots, for jobs that come from now on.
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
