#include "state/demand_meter.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

void add(token_demand &sum, const token_demand &other, double factor)
{
    sum.promptTokensPerSecond += other.promptTokensPerSecond * factor;
    sum.outputTokensPerSecond += other.outputTokensPerSecond * factor;
}

token_demand decayed(const token_demand &rate, duration age, duration horizon)
{
    const double factor = std::exp(-std::max(0.0, toMs(age)) / toMs(horizon));
    return {rate.promptTokensPerSecond * factor, rate.outputTokensPerSecond * factor};
}

demand_rates decayed(const demand_rates &rates, duration age)
{
    return {decayed(rates.shortTerm, age, tunables::shortDemandHorizon), decayed(rates.longTerm, age, tunables::longDemandHorizon)};
}

}

demand_rates &demand_rates::operator+=(const demand_rates &other)
{
    add(shortTerm, other.shortTerm, 1);
    add(longTerm, other.longTerm, 1);
    return *this;
}

void demand_meter::add(const std::string &group, const token_demand &tokens, instant now)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_groups[group];
    state.rates = decayed(state.rates, now - state.updatedAt);
    state.updatedAt = now;
    lacewinglock::add(state.rates.shortTerm, tokens, 1000.0 / toMs(tunables::shortDemandHorizon));
    lacewinglock::add(state.rates.longTerm, tokens, 1000.0 / toMs(tunables::longDemandHorizon));
}

std::map<std::string, demand_rates> demand_meter::rates(instant now) const
{
    std::map<std::string, demand_rates> result;
    const std::lock_guard lock(m_mutex);
    for (const auto &[group, state] : m_groups) {
        result[group] = decayed(state.rates, now - state.updatedAt);
    }
    return result;
}

}
