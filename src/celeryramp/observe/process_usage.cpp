#include "observe/process_usage.h"

#include <sys/resource.h>

#include <fstream>
#include <string>

namespace celeryramp {

namespace internal {

constexpr double kMicrosPerSecond = 1e6;
constexpr std::uint64_t kBytesPerKilobyte = 1024;

[[nodiscard]] double seconds(const timeval &time)
{
    return double(time.tv_sec) + double(time.tv_usec) / kMicrosPerSecond;
}

} // namespace internal

ProcessUsage processUsage()
{
    ProcessUsage usage;
    rusage used{};
    if (getrusage(RUSAGE_SELF, &used) == 0) {
        usage.cpuSeconds = internal::seconds(used.ru_utime) + internal::seconds(used.ru_stime);
    }
    std::ifstream status{"/proc/self/status"};
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> usage.residentBytes;
            usage.residentBytes *= internal::kBytesPerKilobyte;
        } else if (word == "Threads:") {
            status >> usage.threads;
        }
    }
    return usage;
}

} // namespace celeryramp
