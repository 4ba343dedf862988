#include "directory/delayed_read.h"

namespace celeryramp::directory {

DelayedRead decideDelayedRead(const ReadProgress &progress, TimePoint now) noexcept
{
    const bool isInProgress = progress.lastReceivedAt > progress.requestedAt
            && millisBetween(progress.lastReceivedAt, now) < kReadStallTimeout
            && millisBetween(progress.requestedAt, now) < kMaxReadTime;
    if (!isInProgress) {
        return DelayedRead::GiveUp;
    }
    const bool isListShorter
            = progress.isWatch && progress.bytesToCome.value_or(0) > progress.listBytes;
    return isListShorter ? DelayedRead::List : DelayedRead::Wait;
}

} // namespace celeryramp::directory
