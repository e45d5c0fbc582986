/// Calls that wait for a place at a replica.
#pragma once

#include "node/request/target_call.hpp"
#include "process/instant.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace basilpath
{

/// Serves calls that can still be in time before those that cannot, and of
/// the first the one whose time ends soonest. All replicas serve the calls of
/// one query in the same order, so that queries are served whole. Answers the
/// load in which more is asked than a replica can do: what waited too long
/// does not delay what can still be in time.
class call_queue
{
public:
    void push(std::shared_ptr<target_call> call);

    /// Takes the next call, when one that is sent now needs about `usual`.
    /// Null when none waits.
    [[nodiscard]] std::shared_ptr<target_call> pop(instant now,
                                                   microseconds usual);

    /// Takes out the calls that were given up or whose deadline has passed.
    [[nodiscard]] std::vector<std::shared_ptr<target_call>>
    take_ended(instant now);

    /// Takes out all calls.
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
