#include "node/process/departed_replicas.hpp"

#include <chrono>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// A copy from which the store comes back is some seconds old.
constexpr microseconds lifetime = 60s;

} // namespace

void departed_replicas::note(const replica& removed, instant now,
                             const leaving_notice& notice)
{
    this->departures.insert_or_assign(removed.id,
                                      departure{removed, now, notice});
}

leaving_notice departed_replicas::notice_of(const replica& listed) const
{
    const auto found = this->departures.find(listed.id);
    const bool same = found != this->departures.end() && listed.started != 0 &&
                      found->second.last.same_process(listed);
    return same ? found->second.notice : leaving_notice{};
}

std::optional<replica> departed_replicas::find(const leaf_id& id) const
{
    const auto found = this->departures.find(id);
    return found == this->departures.end() ? std::nullopt
                                           : std::optional(found->second.last);
}

void departed_replicas::expire(instant now)
{
    std::erase_if(this->departures, [now](const auto& one)
                  { return now - one.second.at > lifetime; });
}

} // namespace basilpath
