#pragma once

#include "protocol/decisions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// Index over the requests that wait for one group; finding the next one does not visit the others. The order equals that of the reference
/// implementation, orderWaiting() under fair_share_admission. Not thread-safe.
class fair_queue
{
public:
    /// A waiting request.
    struct entry
    {
        std::uint64_t arrival = 0; ///< Unique within the queue.
        std::string organisation;
        double weight = 1; ///< Fair share weight of the organisation.
        double costTokens = 0; ///< Weighted tokens.
        bool late = false; ///< Late requests run after all others.
    };

    void add(const entry &request);
    /// Removes a request that will not run. Ignores unknown requests.
    void remove(std::uint64_t arrival);
    /// Removes a request that runs now and charges its cost to its organisation. Ignores unknown requests.
    void serve(std::uint64_t arrival);
    /// Returns the arrival number of the request to run next, or nothing when the queue is empty.
    std::optional<std::uint64_t> first() const;
    std::size_t size() const;
    /// Resets the service of all organisations. Does nothing while requests are waiting.
    void endBusyPeriod();

    /// Returns the state as input of orderWaiting(). The request ids are the arrival numbers.
    queue_order_input toOrderInput() const;

private:
    struct waiting_item
    {
        double weight = 1;
        double costTokens = 0;
    };

    struct organisation_queue
    {
        double served = 0; ///< Weighted tokens served in the current busy period, divided by the organisation's weight.
        std::map<std::uint64_t, waiting_item> onTime; ///< By arrival.
        std::map<std::uint64_t, waiting_item> late;

        bool empty() const
        {
            return onTime.empty() && late.empty();
        }
    };

    /// The first on-time or the first late request of an organisation. Heads are ordered by class, then by the service of the organisation
    /// after the request, then by arrival.
    struct head
    {
        bool late = false;
        double finish = 0;
        std::uint64_t arrival = 0;

        bool operator<(const head &other) const
        {
            return std::tie(late, finish, arrival) < std::tie(other.late, other.finish, other.arrival);
        }
    };

    static std::vector<head> headsOf(const organisation_queue &queue);
    void eraseHeads(const organisation_queue &queue);
    void insertHeads(const organisation_queue &queue);
    waiting_item extractItem(organisation_queue &queue, std::uint64_t arrival);
    void pruneIdleOrganisations();

    std::unordered_map<std::string, organisation_queue> m_organisations;
    std::unordered_map<std::uint64_t, organisation_queue *> m_owners; ///< By arrival. Pointers to elements of m_organisations stay valid when it grows.
    std::set<head> m_heads;
    double m_virtualTime = 0; ///< Service of the last served organisation before its request; organisations that were idle start here.
    std::size_t m_pruneThreshold = 0; ///< Number of organisations at which idle ones are erased.
};

}
