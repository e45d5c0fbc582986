/// A class of requests: what one request is worth and how soon it is needed.
#pragma once

#include "version/ids.hpp"

namespace basilpath
{

/// One `[class NAME]` section of a document.
struct request_class
{
    class_name name;
    service_name service;
    worth value{1.0};

    /// Time after which an answer is of no use; the default of a request that
    /// names no deadline, and the most that a request may ask for.
    milliseconds deadline{170};

    /// Least coverage an answer may have and still be given, unless the
    /// request asks for another.
    coverage least_coverage{0.0};

    /// A request counts as served when it is answered within this time.
    milliseconds objective_latency{170};

    /// Share of requests that are to be served, 0 to 1.
    double objective_share{0.99};
};

} // namespace basilpath
