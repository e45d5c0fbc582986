/// Calls that wait for a slot of a replica.
#pragma once

#include "node/request/target_call.hpp"
#include "process/instant.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace basilpath
{

/// Serves calls that can still be in time before late ones, the earliest soft
/// deadline first. All replicas serve the calls of one query in the same order,
/// so that queries complete as a whole. Needed when replicas receive more than
/// they can serve: calls that waited too long do not delay those that can still
/// be in time.
class call_queue
{
public:
    void push(std::shared_ptr<target_call> call);

    /// Removes and returns the next call, given that a call sent now takes
    /// about `usual`. Null when the queue is empty.
    [[nodiscard]] std::shared_ptr<target_call> pop(instant now,
                                                   microseconds usual);

    /// Removes and returns the calls that were abandoned or whose deadline has
    /// passed.
    [[nodiscard]] std::vector<std::shared_ptr<target_call>>
    take_expired(instant now);

    /// Removes and returns the calls whose soft deadline has passed.
    [[nodiscard]] std::vector<std::shared_ptr<target_call>>
    take_late(instant now);

    /// Removes and returns all calls.
    [[nodiscard]] std::vector<std::shared_ptr<target_call>> take_all();

    [[nodiscard]] bool empty() const
    {
        return this->calls.empty();
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->calls.size();
    }

private:
    std::vector<std::shared_ptr<target_call>> calls;
};

} // namespace basilpath
