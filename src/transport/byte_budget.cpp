#include "transport/byte_budget.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

byte_budget::byte_budget(std::size_t limit)
    : m_limit(limit)
{
}

void byte_budget::setLimit(std::size_t limit)
{
    m_limit = limit;
}

std::size_t byte_budget::held() const
{
    return m_held;
}

std::uint64_t byte_budget::givenUp() const
{
    return m_givenUp;
}

void byte_budget::enforce()
{
    while (m_held > m_limit && !m_growing.empty()) {
        auto *const largest = *std::ranges::max_element(m_growing, {}, [](const byte_share *share) {
            return share->m_bytes;
        });
        m_growing.erase(largest);
        m_held -= std::exchange(largest->m_bytes, 0);
        largest->m_givenUp = true;
        ++m_givenUp;
        largest->m_giveUp();
    }
}

byte_share::byte_share(std::shared_ptr<byte_budget> budget, std::function<void()> giveUp)
    : m_budget(std::move(budget))
    , m_giveUp(std::move(giveUp))
{
    m_budget->m_growing.insert(this);
}

byte_share::~byte_share()
{
    m_budget->m_held -= m_bytes;
    m_budget->m_growing.erase(this);
}

void byte_share::set(std::size_t bytes)
{
    if (m_givenUp) {
        return;
    }
    m_budget->m_held += bytes - m_bytes;
    m_bytes = bytes;
    m_budget->enforce();
}

void byte_share::complete()
{
    m_budget->m_growing.erase(this);
}

}
