/// Sockets that Pistache leaves open when a server goes.
#pragma once

#include <string>

namespace basilpath::standin
{

/// Closes every socket of this process whose own address is `ip:port`. Pistache
/// leaves the connections of a destroyed endpoint open, and those accepted in
/// its last moments are known to nobody, so their clients would wait for ever.
void close_sockets_at(const std::string& ip, unsigned port);

} // namespace basilpath::standin
