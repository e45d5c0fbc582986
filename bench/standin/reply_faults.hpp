/// What faults make of a reply on its way back.
#pragma once

#include "standin/fault.hpp"

#include <functional>
#include <string>

namespace basilpath::standin
{

class leaf_call;

/// Deals with the reply in place of the ordinary answer when one of the faults
/// drop_reply, drop_connection, garbage and truncate strikes. Returns whether
/// one did.
[[nodiscard]] bool
distort_reply(leaf_call& call, const std::string& body,
              const std::function<bool(fault_kind)>& strikes);

/// A whole response with status 200 as it travels, with only the first `share`
/// of its body.
[[nodiscard]] std::string raw_response(const std::string& body, double share);

} // namespace basilpath::standin
