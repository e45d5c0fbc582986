#include "process/build_id.hpp"

#include <elf.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <link.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstring>
#include <span>

namespace basilpath
{

namespace
{

constexpr std::array<unsigned char, 4> note_owner{'G', 'N', 'U', 0};

// Rounds up to the alignment of the parts of a note.
constexpr std::size_t align_note(std::size_t bytes)
{
    constexpr std::size_t alignment = 4;
    return (bytes + alignment - 1) / alignment * alignment;
}

// Returns the content of the build id note among `notes`; empty when there is
// none.
std::span<const unsigned char>
find_build_id(std::span<const unsigned char> notes)
{
    ElfW(Nhdr) header{};
    while (notes.size() >= sizeof header)
    {
        std::memcpy(&header, notes.data(), sizeof header);
        const std::size_t content = sizeof header + align_note(header.n_namesz);
        const std::size_t end = content + header.n_descsz;
        if (end > notes.size())
        {
            break;
        }
        const auto owner = notes.subspan(sizeof header, header.n_namesz);
        if (header.n_type == NT_GNU_BUILD_ID &&
            std::ranges::equal(owner, note_owner))
        {
            return notes.subspan(content, header.n_descsz);
        }
        notes = notes.subspan(std::min(align_note(end), notes.size()));
    }
    return {};
}

// Reads the notes of one object; the program itself comes first.
int read_program(dl_phdr_info* object, std::size_t, void* result)
{
    const std::span headers(object->dlpi_phdr, object->dlpi_phnum);
    for (const auto& header : headers)
    {
        if (header.p_type != PT_NOTE)
        {
            continue;
        }
        const auto* const begin = std::bit_cast<const unsigned char*>(
            object->dlpi_addr + header.p_vaddr);
        const auto found = find_build_id({begin, header.p_memsz});
        if (!found.empty())
        {
            *static_cast<std::string*>(result) =
                fmt::format("{:02x}", fmt::join(found, ""));
            break;
        }
    }
    return 1;
}

} // namespace

std::string build_id()
{
    std::string id;
    ::dl_iterate_phdr(read_program, &id);
    return id;
}

} // namespace basilpath
