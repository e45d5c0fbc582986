#include "standin/execution_log.hpp"

namespace basilpath::standin
{

void execution_log::receive(const std::string& key)
{
    ++this->by_key[key].received;
}

std::uint64_t execution_log::start(const std::string& key,
                                   std::chrono::steady_clock::time_point now)
{
    execution& one = this->by_key[key];
    one.first_start = one.first_start.value_or(now);
    return ++one.started;
}

void execution_log::finish(const std::string& key)
{
    ++this->by_key[key].finished;
}

void execution_log::reset()
{
    this->by_key.clear();
}

const std::map<std::string, execution>& execution_log::entries() const
{
    return this->by_key;
}

} // namespace basilpath::standin
