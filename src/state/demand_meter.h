#pragma once

#include "protocol/decisions.h"
#include "transport/core_time.h"

#include <map>
#include <mutex>
#include <string>

namespace lacewinglock
{

/// Demand of one group over both horizons of the planners.
struct demand_rates
{
    token_demand shortTerm; ///< Over tunables::shortDemandHorizon.
    token_demand longTerm; ///< Over tunables::longDemandHorizon.

    demand_rates &operator+=(const demand_rates &other);
};

/// Rates of the work that this daemon has served, by group, as exponentially weighted means. Thread-safe.
class demand_meter
{
public:
    /// Adds the tokens of one request; the fields are numbers of tokens here.
    void add(const std::string &group, const token_demand &tokens, instant now);
    std::map<std::string, demand_rates> rates(instant now) const;

private:
    struct entry
    {
        demand_rates rates;
        instant at;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, entry> m_groups;
};

}
