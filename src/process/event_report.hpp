/// Where a session tells what happened to it: the log in programs, a record
/// in tests.
#pragma once

#include "process/log.hpp"

#include <functional>
#include <initializer_list>
#include <string_view>

namespace basilpath
{

using event_report = std::function<void(log_level, std::string_view event,
                                        std::initializer_list<log_field>)>;

} // namespace basilpath
