#pragma once

#include "protocol/exchange_messages.h"
#include "state/message_order.h"
#include "transport/core_time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// Changes of the tables that a reader holds.
struct table_updates
{
    std::vector<load_entry> loads;
    std::vector<daemon_entry> daemons;
    std::vector<sum_entry> sums;
};

/// Reads the tables of the aggregators of one failure domain through polls, from one aggregator at a time.
///
/// An aggregator that doesn't answer is left for the next in rank. The tables of another aggregator replace those held only when they are complete, so
/// a change of aggregator neither loses an entry nor counts it twice.
class table_reader
{
public:
    /// Sets the aggregators in the order of preference.
    void setAggregators(std::vector<std::string> ranked);
    /// The aggregators to poll at this time: the one that is read, and at times those that did not answer, to notice when they do. Counts as a poll.
    std::vector<std::string> pollTargets(instant now);
    /// Position to send to an aggregator with a poll.
    table_position position(std::string_view aggregator) const;
    /// The aggregator that is read; empty if none answers.
    const std::string &source() const;
    /// Whether an aggregator did not answer the last polls.
    bool isSilent(std::string_view aggregator) const;
    /// The next aggregator in rank after source() that is not known to be silent; empty if there is none.
    std::string standby() const;

    /// Applies an answer and returns what changed in the tables held.
    table_updates accept(const exchange_tables &tables, instant now);
    /// Drops the tables held if no answer has updated them for `timeout`, and returns the entries to remove.
    table_updates expire(instant now, duration timeout);

    /// Drops the tables held and returns the entries to remove.
    table_updates drop();

    /// Time of the last answer that updated the tables held; empty if there are none.
    std::optional<instant> updatedAt() const;

private:
    struct table_copy
    {
        std::string aggregator; ///< Empty before the first answer.
        table_position position;
        std::unordered_map<std::uint64_t, endpoint_load> loads;
        std::map<std::string, daemon_status, std::less<>> daemons;
        std::unordered_map<std::uint64_t, double> sums;
        bool sumsComplete = false; ///< All sums of the aggregator have been read once.
    };
    void leaveSilentSource(instant now);
    static bool extends(const table_copy &copy, const exchange_tables &tables);
    static void apply(table_copy &copy, const exchange_tables &tables);
    table_updates replaceHeld(table_copy next);
    /// Adds the removal of sums that came from a former copy, once the copy held has all of its own.
    void endOldSums(table_updates &updates);

    std::vector<std::string> m_ranked;
    std::string m_source;
    std::optional<instant> m_unansweredSince; ///< Time of the first poll of the source without an answer.
    std::map<std::string, instant, std::less<>> m_silent; ///< Aggregators that did not answer, with the time of their next poll.
    std::map<std::string, message_order, std::less<>> m_order; ///< Of the answers of each aggregator.
    table_copy m_held;
    std::unordered_map<std::uint64_t, double> m_oldSums; ///< Of the copy before, without those that the copy held has; they stay until it is complete.
    std::optional<table_copy> m_next; ///< Copy of another aggregator or epoch, until it is complete.
    std::optional<instant> m_updatedAt;
};

}
