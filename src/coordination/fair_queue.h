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

/// The requests that wait for one group, indexed so that the next one is found without a look at the others. Their order is that of
/// orderWaiting under fair shares, which stays the reference. Not thread-safe.
class fair_queue
{
public:
    struct entry
    {
        std::uint64_t arrival = 0; ///< Unique within the queue.
        std::string organisation;
        double weight = 1; ///< Of the organisation.
        double costTokens = 0;
        bool late = false; ///< Runs after all that are not late.
    };

    void add(const entry &request);
    /// Takes out a request that will not run.
    void remove(std::uint64_t arrival);
    /// Takes out a request that runs and charges its organisation.
    void serve(std::uint64_t arrival);
    /// The request to run next.
    std::optional<std::uint64_t> first() const;
    std::size_t size() const;
    /// Forgets what was served once a busy period ends.
    void endBusyPeriod();

    /// The state as input of the reference; the ids are the arrivals.
    order_input describe() const;

private:
    struct waiting_item
    {
        double weight = 1;
        double costTokens = 0;
    };

    struct organisation_queue
    {
        double served = 0; ///< Tokens per weight in the current busy period.
        std::map<std::uint64_t, waiting_item> onTime; ///< By arrival.
        std::map<std::uint64_t, waiting_item> late;

        bool empty() const
        {
            return onTime.empty() && late.empty();
        }
    };

    /// The first request of one organisation in its class. They are compared by class, by the service of the organisation after it, then
    /// by arrival.
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
    void dropHeads(const organisation_queue &queue);
    void putHeads(const organisation_queue &queue);
    waiting_item take(organisation_queue &queue, std::uint64_t arrival);
    void forgetIdle();

    std::unordered_map<std::string, organisation_queue> m_organisations;
    std::unordered_map<std::uint64_t, organisation_queue *> m_owners; ///< By arrival; elements of the map above stay where they are.
    std::set<head> m_heads;
    double m_virtualTime = 0; ///< Service of the last served organisation before it ran; newcomers start here.
    std::size_t m_forgetAt = 0; ///< Number of organisations at which idle ones are looked for.
};

}
