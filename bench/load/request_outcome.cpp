#include "load/request_outcome.hpp"

#include "request/result_code.hpp"

#include <algorithm>

namespace basilpath::load
{

namespace
{

constexpr std::uint32_t served_codes_end = 100;

// Returns whether a code stands for a complete answer.
bool is_complete(std::optional<std::uint32_t> code)
{
    const auto known = code ? to_result_code(*code) : std::nullopt;
    return known == result_code::complete || known == result_code::repeated;
}

} // namespace

bool is_served(std::optional<std::uint32_t> code)
{
    return code && *code < served_codes_end;
}

const caller_answer* request_outcome::final_answer() const
{
    const auto served =
        std::ranges::find_if(this->answers, is_served, &caller_answer::code);
    if (served != this->answers.end())
    {
        return &*served;
    }
    return this->answers.empty() ? nullptr : &this->answers.back();
}

microseconds request_outcome::latency() const
{
    const caller_answer* const answer = this->final_answer();
    return answer == nullptr ? microseconds(0)
                             : answer->received - this->scheduled.at;
}

bool request_outcome::served(milliseconds deadline) const
{
    const caller_answer* const answer = this->final_answer();
    return answer != nullptr && is_complete(answer->code) &&
           this->latency() <= deadline;
}

} // namespace basilpath::load
