#include "serving/hedge_budget.h"

#include <algorithm>

namespace lacewinglock
{

void hedge_budget::noteRequest(std::string_view service, double ratio, instant now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        if (m_services.size() >= maxServices) {
            m_services.erase(std::ranges::min_element(m_services, {}, [](const auto &entry) {
                return entry.second.usedAt;
            }));
        }
        found = m_services.emplace(std::string(service), service_state{}).first;
    }
    auto &state = found->second;
    state.credit = std::min(state.credit + ratio, maxCredit);
    state.usedAt = now;
}

void hedge_budget::noteSent(std::string_view service, instant now)
{
    if (const auto found = m_services.find(service); found != m_services.end()) {
        found->second.credit = std::max(0.0, found->second.credit - 1);
        found->second.sentAt = now;
    }
}

void hedge_budget::noteResult(std::string_view service, bool won)
{
    if (const auto found = m_services.find(service); found != m_services.end()) {
        auto &results = found->second.results;
        results.push_back(won);
        if (results.size() > resultWindow) {
            results.pop_front();
        }
    }
}

hedge_allowance hedge_budget::allowance(std::string_view service, instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    const auto &state = found->second;
    return {
        .credit = state.credit,
        .results = static_cast<int>(state.results.size()),
        .won = static_cast<int>(std::ranges::count(state.results, true)),
        .sinceLastMs = toMs(now - state.sentAt),
    };
}

std::size_t hedge_budget::services() const
{
    return m_services.size();
}

}
