#include "process/random_bytes.hpp"

#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace basilpath
{

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                   static_cast<int>(count)) != 1)
    {
        throw std::runtime_error("the system has no random bytes");
    }
    return bytes;
}

std::uint64_t random_number()
{
    std::uint64_t number = 0;
    while (number == 0)
    {
        const std::string bytes = random_bytes(sizeof number);
        std::memcpy(&number, bytes.data(), sizeof number);
    }
    return number;
}

} // namespace basilpath
