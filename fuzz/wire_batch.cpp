/// Fuzz target: arbitrary bytes as a message from another process.
#include "connection/wire.pb.h"

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using basilpath::wire::Batch;
    Batch batch;
    if (!batch.ParseFromArray(data, static_cast<int>(size)))
    {
        return 0;
    }
    // A parsed message must survive serialization and parsing.
    const std::string written = batch.SerializeAsString();
    Batch again;
    if (!again.ParseFromString(written) || again.SerializeAsString() != written)
    {
        std::abort();
    }
    return 0;
}
