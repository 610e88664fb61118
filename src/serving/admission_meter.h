#pragma once

#include "serving/request_admission.h"
#include "serving/shared_sums.h"
#include "transport/core_time.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// An amount per second that decays, so that it follows the last second.
class decaying_rate
{
public:
    void add(double amount, instant now);
    double at(instant now) const;

private:
    double m_value = 0;
    instant m_at;
};

/// A request as the meter counts it.
struct metered_request
{
    std::string_view service;
    int priority = 5;
    std::string_view organisation;
    double size = 1;
};

/// Demand by service, priority and organisation at this daemon and, through the shared sums, at all daemons, and what follows from it for the fair shares
/// and the return of refused callers. Bounded: the organisations with the least demand are forgotten.
class admission_meter
{
public:
    /// Counts a request that has arrived.
    void noteArrival(const metered_request &request, instant now);
    /// Counts a request that is refused, and takes its place among the refused requests of its organisation.
    void noteRefusal(const metered_request &request, instant now);
    /// Counts a request that was admitted but could not be placed.
    void noteUnserved(const metered_request &request, instant now);
    /// Uses credit of the request's organisation.
    void noteRun(const metered_request &request, instant now);

    /// The load that concerns a request, and the credit of its organisation afterwards in creditOf().
    admission_load loadFor(const metered_request &request, const shared_sums &sums, instant now);
    /// The credit of the organisation, in units of the size, as of the last loadFor(); above 0, a request is within the fair share.
    double creditOf(const metered_request &request) const;
    /// Time until the last of the refused requests of the organisation in this priority returns, if they return at the rate at which they can run.
    double returnsMs(const metered_request &request, instant now) const;

    /// Publishes the demand at this daemon.
    void publish(shared_sums &sums, instant now);
    /// Withdraws what was published.
    void withdraw(shared_sums &sums);

private:
    struct organisation_state
    {
        decaying_rate demand;
        double credit = 1;
        instant creditAt;
        double runRate = 0; ///< What it can expect to run at this daemon, as of the last loadFor().
        instant returnAt; ///< Of the last refused request.
    };
    struct priority_state
    {
        decaying_rate demand;
        std::map<std::string, organisation_state, std::less<>> organisations;
        double share = unlimitedShare; ///< Fair share of an organisation, changed in bounded steps.
        instant shareAt;
    };
    static constexpr int priorities = 10;
    struct service_state
    {
        std::array<priority_state, priorities> byPriority;
        decaying_rate refused;
    };
    /// Figures of a service over all daemons.
    struct service_totals
    {
        std::array<double, priorities> demand{};
        double all = 0;
        double unserved = 0;
    };

    service_state &stateOf(std::string_view service, instant now);
    /// The organisation of a request in its priority; null if it is not known.
    organisation_state *find(const metered_request &request);
    const organisation_state *find(const metered_request &request) const;
    static service_totals totalsOf(std::string_view service, const service_state &state, const shared_sums &sums, instant now);
    void updateShare(std::string_view service, priority_state &level, int priority, const service_totals &totals, const shared_sums &sums, instant now);

    std::map<std::string, service_state, std::less<>> m_services;
    std::set<std::uint64_t> m_published;
};

}
