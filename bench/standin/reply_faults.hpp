/// Faults that drop or corrupt a reply.
#pragma once

#include "standin/fault.hpp"

#include <functional>
#include <string>

namespace basilpath::standin
{

class leaf_call;

/// Applies the first of drop_reply, drop_connection, garbage and truncate that
/// affects the reply. Returns whether one did; if so, the caller must not send
/// the ordinary reply.
[[nodiscard]] bool
distort_reply(leaf_call& call, const std::string& body,
              const std::function<bool(fault_kind)>& applies);

/// Returns the bytes of a response with status 200 whose body is cut to the
/// first `share`, 0 to 1; Content-Length is that of the whole body.
[[nodiscard]] std::string raw_response(const std::string& body, double share);

} // namespace basilpath::standin
