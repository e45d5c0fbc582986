#include "process/ctl_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpath
{

namespace
{

constexpr int indentation = 2;

} // namespace

std::string to_json_line(const nlohmann::json& value)
{
    return value.dump(indentation, ' ', false,
                      nlohmann::json::error_handler_t::replace) +
           "\n";
}

std::string format_digest(document_digest digest)
{
    return fmt::format("{:016x}", digest.value);
}

} // namespace basilpath
