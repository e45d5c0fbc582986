#include "node/process/evacuated_domains.hpp"

#include <chrono>

namespace basilpath
{

std::optional<milliseconds> evacuated_domains::set(const failure_domain& domain,
                                                   bool in_force,
                                                   store_position as_of,
                                                   instant now)
{
    const auto found = this->since.find(domain);
    const bool known = found != this->since.end();
    if (known == in_force)
    {
        return std::nullopt;
    }
    this->changed_at = as_of;
    if (in_force)
    {
        this->since.emplace(domain, now);
        return milliseconds(0);
    }
    const auto lasted =
        std::chrono::duration_cast<milliseconds>(now - found->second);
    this->since.erase(found);
    return lasted;
}

} // namespace basilpath
