#include "transport/boot_clock.h"

#include <ctime>

namespace lacewinglock
{

instant bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::seconds(now.tv_sec) + std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

task<bool> sleepFor(duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code error;
    co_await timer.async_wait(errorTo(error));
    co_return !error;
}

}
