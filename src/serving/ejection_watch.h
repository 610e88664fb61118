#pragma once

#include "serving/endpoint_registry.h"
#include "serving/shared_sums.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

struct edge_context;

/// The endpoints whose outcomes this daemon publishes.
struct shared_outcomes
{
    std::vector<std::uint64_t> endpoints; ///< Hashes.
    instant sharedAt;
};

/// Publishes the recent losses of this daemon and its attempts at the same endpoints, at most every 100 ms, and withdraws those that are over.
///
/// The endpoints with the most losses come first. What one daemon reports of an endpoint is bounded, so that a daemon that loses all its connections
/// does not have the others eject endpoints.
void shareOutcomes(const endpoint_registry &endpoints, shared_sums &sums, shared_outcomes &shared, instant now);

/// Input of decideEjections() for the endpoints of a service.
ejection_input makeEjectionInput(std::string_view service, std::span<const endpoint_ptr> endpoints, const shared_sums &sums, instant now);

/// Applies a decision to the endpoints that its input was made from.
void applyEjections(std::span<const endpoint_ptr> endpoints, const std::vector<ejection_change> &changes, instant now);

/// The ejected endpoints of a service that a request must not be sent to; none if all others failed it or are unavailable. `failed` are the ids of the
/// endpoints that failed it; `repeatable` tells that it can be sent elsewhere if its first attempt fails.
std::vector<const endpoint_state *>
ejectedEndpoints(std::span<const endpoint_ptr> endpoints, const std::set<std::string> &failed, bool repeatable, instant now);

/// Ejections at the endpoints of one service, as of the placement of one request. Decides on ejections first, if outcomes or reports may have changed.
class ejection_view
{
public:
    ejection_view(edge_context &context, std::span<const endpoint_ptr> endpoints, const std::set<std::string> &failed, bool repeatable, instant now);

    bool excludes(const endpoint_state &endpoint) const;
    /// Failure rate as input of the placement. Trials are sent to an endpoint whatever it did before. For repeatable calls only losses count: error answers
    /// of reads come at every endpoint alike.
    double failureRate(const endpoint_state &endpoint, bool repeatable) const;

private:
    instant m_now;
    bool m_active;
    std::vector<const endpoint_state *> m_excluded;
};

}
