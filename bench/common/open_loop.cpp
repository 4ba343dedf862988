#include "common/open_loop.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace bench {

OpenLoopResult runOpenLoop(double perSecond, double seconds, std::size_t workers,
                           const std::function<SendCall()> &makeSender)
{
    using Clock = std::chrono::steady_clock;
    const auto total = static_cast<std::uint64_t>(perSecond * seconds);
    const auto start = Clock::now() + std::chrono::milliseconds{200};
    std::atomic<std::uint64_t> next{0};
    std::mutex mutex;
    OpenLoopResult result;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < workers; ++i) {
        threads.emplace_back([&] {
            auto send = makeSender();
            std::vector<double> millis;
            std::uint64_t failed = 0;
            for (auto n = next.fetch_add(1); n < total; n = next.fetch_add(1)) {
                const auto due = start
                        + std::chrono::duration_cast<Clock::duration>(
                                         std::chrono::duration<double>{double(n) / perSecond});
                std::this_thread::sleep_until(due);
                if (send()) {
                    millis.push_back(
                            std::chrono::duration<double, std::milli>(Clock::now() - due).count());
                } else {
                    ++failed;
                }
            }
            const std::lock_guard lock{mutex};
            result.millis.insert(result.millis.end(), millis.begin(), millis.end());
            result.failed += failed;
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return result;
}

} // namespace bench
