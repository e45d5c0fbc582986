/// Fuzz target: any bytes as a message of a link between hosts.
#include "node/connection/link_codec.hpp"
#include "node/request/record_merge.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace basilpath;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const instant now = instant(std::chrono::hours(1));
    const auto message = decode_link_message(bytes, now);
    if (!message)
    {
        return 0;
    }
    const auto* const asked = std::get_if<subquery>(&*message);
    const auto* const told = std::get_if<subquery_report>(&*message);
    const bool good =
        (!asked || (asked->query && asked->timeout.count() >= 0)) &&
        (!told || told->records.size() % record_bytes == 0);
    if (!good || !decode_link_message(encode_link_message(*message), now))
    {
        std::abort();
    }
    return 0;
}
