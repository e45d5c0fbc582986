/// Record of the events of a test session in virtual time.
#pragma once

#include "virtual_runtime.hpp"

#include <fmt/format.h>

#include <string>

namespace basilpath::test
{

/// Collects one line for each event, with its virtual time.
class session_record
{
public:
    void add(const std::string& event)
    {
        const auto now = virtual_clock::now().time_since_epoch().count();
        this->text += fmt::format("{:>9.3f} ms  {}\n",
                                  static_cast<double>(now) / 1000.0, event);
    }

    std::string text;
};

} // namespace basilpath::test
