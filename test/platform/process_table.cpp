#include "lab/process_table.h"

#include <array>
#include <filesystem>

#include <catch2/catch.hpp>
#include <poll.h>
#include <unistd.h>

// Guards against children that hold their parent's connections open after it has closed them.
TEST_CASE("Process table: a process inherits no descriptors but the standard ones")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    standin::ProcessTable processes;
    const auto log = std::filesystem::temp_directory_path() / "process-table-test.log";
    processes.start("sleep", {"/bin/sleep", "5"}, log.string());
    close(ends[1]);
    constexpr int kTimeoutMs = 1000;
    pollfd end{ends[0], POLLIN, 0};
    CHECK(poll(&end, 1, kTimeoutMs) == 1);
    CHECK((end.revents & POLLHUP) != 0);
    close(ends[0]);
    std::filesystem::remove(log);
}
