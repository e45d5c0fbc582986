/// Small documents for tests.
#pragma once

#include <fmt/format.h>

#include <string>

namespace basilpath::test
{

/// A document with one fan-out service `s` on two shards. `worth` makes
/// documents of one number differ.
inline std::string make_document_text(int number, int worth = 2)
{
    return fmt::format("[deployment]\nname = small\nversion = {}\n"
                       "[service s]\nkind = fanout\n"
                       "[class c]\nservice = s\nworth = {}\n"
                       "deadline_ms = 100\nobjective_ms = 50\n"
                       "[leaves g]\nslots = 2\nconnections = 16\n"
                       "a = north\nb = south\n"
                       "[shards s/1]\n0 = a\n1 = b\n",
                       number, worth);
}

} // namespace basilpath::test
