#pragma once

#include "protocol/decisions.h"
#include "transport/core_time.h"

#include <map>
#include <mutex>
#include <string>

namespace lacewinglock
{

/// Demand on one group, as means over the two horizons of the planners.
struct demand_rates
{
    token_demand shortTerm; ///< Over tunables::shortDemandHorizon.
    token_demand longTerm; ///< Over tunables::longDemandHorizon.

    demand_rates &operator+=(const demand_rates &other);
};

/// Measures the token rates that this daemon serves, by group, as exponentially weighted means. Thread-safe.
class demand_meter
{
public:
    /// Adds the tokens of one request. The fields of `tokens` hold numbers of tokens here, not rates.
    void add(const std::string &group, const token_demand &tokens, instant now);
    /// The rates of every group, in tokens per second, decayed to `now`.
    std::map<std::string, demand_rates> rates(instant now) const;

private:
    struct entry
    {
        demand_rates rates;
        instant updatedAt;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, entry> m_groups;
};

}
