/// Counts the violations of one check and keeps the first as an example.
#pragma once

#include "load/check_input.hpp"

#include <string>
#include <utility>
#include <vector>

namespace basilpath::load
{

/// Violations of one check.
class case_list
{
public:
    explicit case_list(std::string check) : found{std::move(check), 0, {}} {}

    void add(std::string example)
    {
        if (this->found.count++ == 0)
        {
            this->found.example = std::move(example);
        }
    }

    [[nodiscard]] std::vector<violation> result() const
    {
        return this->found.count == 0 ? std::vector<violation>()
                                      : std::vector<violation>{this->found};
    }

private:
    violation found;
};

} // namespace basilpath::load
