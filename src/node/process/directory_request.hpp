/// What a caller says when it asks which host to use.
#pragma once

#include "version/ids.hpp"

namespace basilpath
{

struct directory_request
{
    region_name region;
    failure_domain domain;
};

} // namespace basilpath
