#include "observe/time_text.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace celeryramp {

std::string timeOfDayText()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%lld.%03ld", static_cast<long long>(time.tv_sec),
                  time.tv_nsec / 1'000'000);
    return text.data();
}

} // namespace celeryramp
