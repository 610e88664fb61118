#include "transport/timeout.h"

#include <algorithm>

namespace lacewinglock
{

timeout::timeout(asio::io_context &loop)
    : m_timer(loop)
    , m_starts(std::make_shared<std::uint64_t>(0))
{
}

timeout::~timeout()
{
    ++*m_starts;
}

void timeout::start(duration time, std::function<void()> action)
{
    const auto number = ++*m_starts;
    m_timer.expires_after(std::max(duration::zero(), time));
    m_timer.async_wait([starts = m_starts, number, action = std::move(action)](const boost::system::error_code &error) {
        if (!error && *starts == number) {
            action();
        }
    });
}

void timeout::cancel()
{
    ++*m_starts;
    m_timer.cancel();
}

}
