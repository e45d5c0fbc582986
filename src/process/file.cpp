#include "process/file.hpp"

#include <exception>
#include <fstream>
#include <iterator>

namespace basilpath
{

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
    {
        return std::nullopt;
    }
    // A directory can be opened, but reading it throws.
    try
    {
        return std::string(std::istreambuf_iterator<char>(file), {});
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace basilpath
