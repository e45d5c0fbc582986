#include "process/settings.hpp"
#include "version/ini_reader.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace
{

using namespace basilpath;

/// A file that is removed with the test.
struct scratch_file
{
    std::string name = "/tmp/basilpath-test-XXXXXX";

    explicit scratch_file(const std::string& text)
    {
        close(mkstemp(this->name.data()));
        std::ofstream(this->name) << text;
    }

    ~scratch_file()
    {
        std::remove(this->name.c_str());
    }
};

TEST_CASE("ini lines know their place and faults are all listed")
{
    const ini_text text = read_ini("; top\n[a]\n  x = 1\n\ny = 2\nnonsense\n" +
                                   std::string(300, 'z') + "\nq=\x01\n");
    REQUIRE(text.lines.size() == 2);
    CHECK(text.lines[0].line == 3);
    CHECK(text.lines[0].section == "a");
    CHECK(text.lines[1].key == "y");
    CHECK(text.lines[1].line == 5);
    REQUIRE(text.faults.size() == 3);
    CHECK(text.faults[0].line == 6);
    CHECK(text.faults[1].line == 7);
    CHECK(text.faults[2].line == 8);
}

TEST_CASE("every fault of a settings file is named with line and key")
{
    const scratch_file file("[http]\nlisten = localhost:80\nthreads = 0\n"
                            "colour = red\n");
    std::string listen;
    std::int64_t threads = 2;
    settings_reader reader;
    reader.address("http.listen", &listen);
    reader.integer("http.threads", 1, 64, &threads);
    reader.text("host.id", &listen);
    reader.require("host.id");
    const auto faults = reader.read(file.name);
    REQUIRE(faults.size() == 4);
    CHECK(faults[0] == file.name + ":2: http.listen=localhost:80 is not "
                                   "accepted; it takes IP:PORT with a numeric "
                                   "IP");
    CHECK(faults[1] == file.name + ":3: http.threads=0 is not accepted; it "
                                   "takes a whole number from 1 to 64");
    CHECK(faults[2] == file.name + ":4: unknown key http.colour; known keys "
                                   "are http.listen, http.threads, host.id");
    CHECK(faults[3] == file.name + ": host.id is missing");
    CHECK(threads == 2);
}

TEST_CASE("addresses are numeric")
{
    CHECK(is_address("127.0.0.1:80"));
    CHECK(is_address("[::1]:80"));
    CHECK_FALSE(is_address("127.0.0.1:0"));
    CHECK(is_address("127.0.0.1:0", true));
    CHECK_FALSE(is_address("127.0.0.1"));
    CHECK_FALSE(is_address("host:80"));
    CHECK_FALSE(is_address("127.0.0.1:70000"));
}

} // namespace
