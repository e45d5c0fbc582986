/// Why a request was not accepted.
#pragma once

#include "request/result_code.hpp"

#include <string>

namespace basilpath
{

/// A result code and a sentence that names the field at fault.
struct request_error
{
    result_code code = result_code::malformed_request;
    std::string reason;
};

} // namespace basilpath
