#include "serving/refused_requests.h"

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxRequests = 1024; // Of 16 hexadecimal digits each.
constexpr auto lifetime = std::chrono::seconds(10); // Longer than the deadline of any request that is sent again.
constexpr auto earlyTolerance = std::chrono::milliseconds(20); // Callers' timers and clocks differ a little.

}

void refused_requests::note(std::string_view fingerprint, instant mayReturnAt, instant now)
{
    if (m_mayReturnAt.size() >= maxRequests) {
        std::erase_if(m_mayReturnAt, [&](const auto &entry) {
            return now - entry.second > lifetime;
        });
    }
    if (m_mayReturnAt.size() < maxRequests) {
        m_mayReturnAt.insert_or_assign(std::string(fingerprint), mayReturnAt);
    }
}

bool refused_requests::hasReturned(const std::string &fingerprint, instant now) const
{
    const auto found = m_mayReturnAt.find(fingerprint);
    return found != m_mayReturnAt.end() && now + earlyTolerance >= found->second && now - found->second <= lifetime;
}

}
