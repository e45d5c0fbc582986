/// Cleanup of sockets that Pistache leaves open.
#pragma once

#include <string>

namespace basilpath::standin
{

/// Closes every socket of this process whose local address is `ip:port`.
/// Pistache leaves the connections of a destroyed endpoint open. No object
/// tracks those accepted during its shutdown, so their clients would wait
/// forever.
void close_sockets_at(const std::string& ip, unsigned port);

} // namespace basilpath::standin
