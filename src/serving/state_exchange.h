#pragma once

#include "protocol/exchange_messages.h"
#include "serving/aggregators.h"
#include "serving/load_table.h"
#include "serving/sum_table.h"
#include "serving/table_reader.h"
#include "state/message_order.h"
#include "state/versioned_table.h"
#include "transport/core_time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewinglock
{

/// Intervals of the state exchange.
struct exchange_intervals
{
    duration summary = std::chrono::milliseconds(65); ///< Between two summaries of a daemon, which also poll its aggregator.
    duration earlySummary = std::chrono::milliseconds(15); ///< Shortest time between two summaries after a large change of load.
    duration domainPoll = std::chrono::milliseconds(32); ///< Between two polls of an aggregator to each other failure domain.
    /// Shortest time between two answers to a reader after large changes of load, which are sent without waiting for its next poll.
    duration push = std::chrono::milliseconds(15);
    duration pushPerMember = std::chrono::microseconds(500); ///< Added for each daemon: more daemons cause more changes, but not more traffic.
    duration timeout = std::chrono::seconds(1); ///< A daemon or failure domain without news for this long is removed from the tables.
};

/// The role of an engine is being changed; it gets no new requests.
struct engine_reserved
{
    std::uint64_t engine = 0; ///< Hash of the engine.
};

/// Everything reported so far is void, because the tables are read from another place. The complete state follows.
struct view_reset
{
};

/// A change of what this daemon knows of the others. The load of an endpoint and the sum of a key are those over the other daemons.
using exchange_event = std::variant<view_reset, load_entry, daemon_entry, prefix_use, suspect_report, engine_reserved, notice_report, sum_entry>;

/// A message to a member.
struct outgoing_message
{
    std::string member;
    exchange_message message;
};

/// One daemon's part in the exchange of loads and states between all daemons. It does no input or output itself.
///
/// Each daemon sends its summary to two aggregators of its failure domain and polls one of them. An aggregator merges the summaries of its domain, polls
/// one aggregator of every other domain for the merged tables of that domain, and answers polls with what has changed since the position of the poll.
/// A large change of load is passed on at once, without waiting for a poll, as often as the number of daemons allows.
/// So the messages of a daemon do not grow with the number of daemons; those of an aggregator grow with its domain and the number of domains.
class state_exchange
{
public:
    /// Builds the own summary; called once for each summary sent. `sender`, `sequence`, `incarnation` and `poll` are filled in afterwards.
    using summary_source = std::function<daemon_summary()>;

    state_exchange(std::string id, std::string failureDomain, std::uint64_t incarnation, exchange_intervals intervals = {});

    /// Sets the daemons that take part.
    void setMembers(std::vector<exchange_member> members, instant now);
    /// Brings the next summary forward after a large change of the own load.
    void expedite(instant now);
    /// When tick() has something to do next.
    instant nextDue() const;
    /// Removes what has timed out and sends what is due. `wallMs` is the wall clock of this machine.
    std::vector<outgoing_message> tick(const summary_source &makeSummary, instant now, std::int64_t wallMs);
    /// Handles a message of a member and returns the answers.
    std::vector<outgoing_message> receive(const exchange_message &message, instant now, std::int64_t wallMs);
    /// Returns the changes since the last call.
    std::vector<exchange_event> takeEvents();

    /// Age of the oldest information about other daemons, in milliseconds. Without any news, the time since the last; at least the timeout while the
    /// tables that are read are incomplete. 0 if there are no other members.
    double ageMs(instant now) const;
    /// Wall clock of the daemon whose tables are read minus that of this machine; the clock differences of daemon_status are relative to it.
    std::int64_t sourceClockDifferenceMs() const;
    /// Whether this daemon works as an aggregator at present.
    bool aggregates(instant now) const;

private:
    // Time per key between two listings of the same sum. Daemons read 125 sums a second at most: 1 KB/s, so that control traffic stays within its bound.
    // Aggregators read 1,000.
    static constexpr duration readerSumInterval = std::chrono::milliseconds(8);
    static constexpr duration domainSumInterval = std::chrono::milliseconds(1);

    struct logged_use
    {
        std::uint64_t sequence = 0;
        std::string source; ///< Daemon or failure domain that reported it.
        prefix_use use;
    };
    /// What an aggregator knows of a set of daemons.
    struct table_set
    {
        load_table loads;
        sum_table sums;
        versioned_table<std::string, std::optional<daemon_status>> daemons;
        std::deque<logged_use> uses; ///< Newest at the back.
        std::uint64_t lastUse = 0;
    };
    /// A daemon of the own failure domain that sends its summaries here.
    struct summary_sender
    {
        message_order order;
        instant receivedAt;
        std::vector<std::uint64_t> reserved;
        std::uint64_t sumsIncarnation = 0; ///< Process whose sums are held,
        std::uint16_t sumsVersion = 0; ///< and their version.
        bool sumsWanted = false; ///< The sender has newer ones.
        instant sumsRequestedAt;
    };
    /// Another failure domain, read through one of its aggregators.
    struct remote_domain
    {
        table_reader reader;
        std::vector<std::uint64_t> reserved;
        std::int64_t ageMs = 0; ///< Age of the oldest part when it was read.
    };

    /// Versions of the tables at a time; entries without content that are older are removed the next time.
    struct prune_mark
    {
        instant at;
        std::array<std::uint64_t, 6> versions{};
    };

    /// A daemon that polls the tables kept here.
    struct table_poller
    {
        bool ofAllDomains = false;
        table_position position; ///< Of its last poll.
        std::uint64_t sentUses = 0; ///< Prefix uses up to this one were sent; unlike loads, they must not be applied twice.
        instant polledAt;
        instant answeredAt;
        std::optional<instant> pushDue; ///< Set after a large change, until an answer.
    };

    std::vector<outgoing_message> handle(const daemon_summary &summary, instant now, std::int64_t wallMs);
    std::vector<outgoing_message> handle(const domain_poll &poll, instant now, std::int64_t wallMs);
    std::vector<outgoing_message> handle(const exchange_tables &tables, instant now, std::int64_t wallMs);
    std::vector<outgoing_message> handle(const sums_request &request, instant now, std::int64_t wallMs);

    void noteTime(instant now);
    bool isOnDuty() const;
    void updateDuty(instant now);
    void startAggregating(instant now);
    bool readsOwnTables(instant now) const;
    void absorbSummary(const daemon_summary &summary, instant now, std::int64_t wallMs);
    /// Takes over the sums of a summary, or notes that they are missing.
    void absorbSums(const daemon_summary &summary, summary_sender &sender, instant now);
    void noteLargeChange(instant now);
    std::vector<outgoing_message> sendPushes(instant now, std::int64_t wallMs);
    outgoing_message answer(const std::string &reader, table_poller &poller, instant now, std::int64_t wallMs);
    void absorbDomain(const std::string &domain, const table_updates &updates, std::int64_t clockDifferenceMs, instant now);
    void dropSender(const std::string &id, instant now);
    void passOn(const table_updates &updates);
    void logUse(table_set &tables, std::string_view source, const prefix_use &use);
    exchange_tables makeTables(const table_set &tables, const table_position &from, std::string_view reader, instant now, std::int64_t wallMs);
    std::vector<outgoing_message> sendSummary(const summary_source &makeSummary, instant now, std::int64_t wallMs);
    std::vector<outgoing_message> pollDomains(instant now);
    void expire(instant now);
    void readOwnTables(instant now);
    /// Passes on what messages report beside the tables.
    template <typename Message>
    void noteReports(const Message &message);
    duration jittered(duration interval);

    std::string m_id;
    std::string m_failureDomain;
    std::uint64_t m_incarnation;
    exchange_intervals m_intervals;
    std::mt19937_64 m_random;

    std::map<std::string, std::string, std::less<>> m_domainOf; ///< Failure domain of each member.
    std::vector<std::string> m_ownRanks; ///< Members of the own failure domain, ranked as aggregators.

    std::uint64_t m_sequence = 0;
    instant m_lastTime;
    instant m_summarySentAt;
    instant m_summaryDue;
    instant m_domainPollDue;
    std::vector<sum_entry> m_sums; ///< Those sent last.
    std::uint16_t m_sumsVersion = 0;
    std::set<std::string, std::less<>> m_sumsWanted; ///< Aggregators that lack them.
    instant m_newsAt; ///< Of the last tables or, while the own tables are read, summary; before the first, when there first was another member.

    // As a reader.
    table_reader m_reader;
    std::int64_t m_sourceClockDifferenceMs = 0;
    std::int64_t m_sourceAgeMs = 0;
    bool m_sourceWarm = false; ///< When the tables held were read last.
    std::optional<table_position> m_ownPosition; ///< Set while this daemon reads its own tables.
    std::vector<exchange_event> m_events;

    // As an aggregator.
    std::uint64_t m_epoch;
    bool m_onDuty = false;
    instant m_aggregatesSince; ///< The epoch of the clock before the first time.
    instant m_lastPolled; ///< Last summary or poll of another daemon.
    std::map<std::string, summary_sender, std::less<>> m_senders; ///< Includes this daemon.
    std::map<std::string, remote_domain, std::less<>> m_remote;
    std::map<std::string, table_poller, std::less<>> m_pollers;
    instant m_pushDue = instant::max(); ///< The earliest of the pollers.
    double m_largestOwnChange = 0; ///< Largest change since the last push, in prompt tokens: of the own failure domain,
    double m_largestChange = 0; ///< and of all.
    table_set m_domainTables{.sums = sum_table(domainSumInterval)}; ///< Of the own failure domain, for aggregators of other domains.
    table_set m_allTables{.sums = sum_table(readerSumInterval)}; ///< Of all failure domains, for the daemons of the own domain.
    instant m_reportedAt; ///< When the ages of the reports below were right.
    std::vector<suspect_report> m_suspects; ///< Of the own summary.
    std::vector<notice_report> m_notices;
    prune_mark m_pruneMark;
};

}
