#include "edge_fixture.h"
#include "store_executor.h"

#include "serving/feed_relay.h"
#include "serving/history_record.h"
#include "serving/peer_exchange.h"
#include "serving/store_batch.h"
#include "serving/usage_duty.h"
#include "serving/usage_relay.h"
#include "state/table_store.h"

#include <absl/strings/str_format.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t storeMaxEntries = 100; // Of one transaction; the store refuses larger ones.
constexpr std::size_t storeMaxBytes = 1000000;

/// A daemon with an in-memory store that has the limits of the platform's store, and a relay of the same failure domain on loopback.
class usage_relay_test : public edge_fixture
{
protected:
    usage_relay_test()
        : relaySettings(named("relay"))
        , relay(std::make_unique<edge_context>(loop, relaySettings, makePort, lines))
        , relayServer(loop,
                      {.handle =
                           [this](received_request &request, server_reply &reply) {
                               return serveUsageWrite(*relay, request, reply);
                           },
                       .limits =
                           [] {
                               return server_limits{};
                           },
                       .closing =
                           [] {
                               return false;
                           },
                       .errorBody =
                           [](std::string_view reason) {
                               return std::string(reason);
                           }})
    {
        useStore(*context);
        useStore(*relay);
        tcp::acceptor probe(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        relayAddress = probe.local_endpoint();
        probe.close();
        // Whichever other daemon of the domain is the relay, its address leads to the one that listens.
        relay->members[settings.id] = {.address = "127.0.0.1:1", .failureDomain = "domain-a"};
        for (int i = 0; i < 12; ++i) {
            const std::string id = "peer-" + std::to_string(i);
            context->members[id] = {.address = absl::StrCat("127.0.0.1:", relayAddress.port()), .failureDomain = "domain-a"};
            context->peers[id] = {.serving = true};
        }
        EXPECT_EQ(feedRole(*context).relays.size(), 2U);
    }

    static edge_settings named(const std::string &id)
    {
        edge_settings out;
        out.id = id;
        out.failureDomain = "domain-a";
        out.storeAddress = "127.0.0.1:1";
        out.ordersAddress = "127.0.0.1:1";
        return out;
    }

    void useStore(edge_context &user)
    {
        user.platform.store.scan = [this](std::string prefix) -> task<absl::StatusOr<std::vector<row>>> {
            co_return table.scan(prefix, 100000, "");
        };
        user.platform.store.read = [this](std::string key) -> task<absl::StatusOr<std::optional<row>>> {
            co_return table.read(key);
        };
        user.platform.store.commit = [this](transaction change) -> task<commit_outcome> {
            ++commits;
            std::size_t bytes = 0;
            for (const auto &write : change.writes) {
                bytes += write.key.size() + (write.value ? write.value->size() * 4 / 3 : 0);
            }
            const bool tooLarge = change.writes.size() + change.conditions.size() > storeMaxEntries || bytes > storeMaxBytes;
            if (tooLarge || commits == failingCommit) {
                co_return tooLarge ? commit_outcome::Unknown : commit_outcome::Unavailable;
            }
            const auto outcome = table.commit(change);
            co_return commits == unansweredCommit ? commit_outcome::Unknown : outcome;
        };
    }

    template <typename Result>
    Result await(task<Result> work, std::chrono::milliseconds limit = 6s)
    {
        std::optional<Result> result;
        asio::co_spawn(
            loop,
            [](task<Result> inner, std::optional<Result> &out) -> task<void> {
                out = co_await std::move(inner);
            }(std::move(work), result),
            asio::detached);
        runUntil(
            [&] {
                return result.has_value();
            },
            limit);
        return std::move(*result);
    }

    /// Leaves this daemon alone in the fleet, with a request in each window that ends before or during the test. Returns the current window.
    std::int64_t countAlone()
    {
        context->members = {{settings.id, {.address = "127.0.0.1:1", .failureDomain = "domain-a"}}};
        context->peers.clear();
        const std::int64_t current = wallMs() / 5000;
        for (std::int64_t window = current - 2; window <= current + 8; ++window) {
            context->usage.countRequest("o", context->usage.windowEndMs(window) - 1);
        }
        return current;
    }

    /// Stores the record of a history, as the daemons that met it have left it.
    void storeRecord(std::uint64_t history, std::int64_t reportedBefore = 0)
    {
        transaction record{.writes = {{.key = "history", .value = encodeHistory({history, reportedBefore})}}};
        table.commit(record);
    }

    /// Starts the record of the history as a daemon that has met no other one, and waits until it is read.
    void startInHistory(std::uint64_t history)
    {
        context->platform.store.history = [history] {
            return history;
        };
        context->historyUnread = true;
        asio::co_spawn(loop, maintainHistoryRecord(*context), asio::detached);
        ASSERT_TRUE(runUntil(
            [this] {
                return !context->historyUnread;
            },
            1s));
    }

    /// Collects in `reports` the counts that the platform gets, by window.
    void recordReports(std::map<std::int64_t, std::set<std::string>> &reports)
    {
        context->platform.orders.reportUsage = [&reports](order_authority, std::int64_t window, usage_counts counts) -> task<delivery_outcome> {
            reports[window].insert(encodeCounts(counts));
            co_return delivery_outcome::Accepted;
        };
    }

    /// Starts the duties that count and report usage.
    void startDuties(lease_runner &lease)
    {
        asio::co_spawn(loop, lease.run(), asio::detached);
        asio::co_spawn(loop, storeUsage(*context), asio::detached);
        asio::co_spawn(loop, reportUsage(*context, lease), asio::detached);
    }

    /// Takes the duties and expects that the first window which is reported is not before `window`. Run the loop no more afterwards.
    void expectNoReportBefore(std::int64_t window)
    {
        std::map<std::int64_t, std::set<std::string>> reports;
        recordReports(reports);
        lease_runner lease(*context, "platform");
        startDuties(lease);
        ASSERT_TRUE(runUntil(
            [&] {
                return !reports.empty();
            },
            20s));
        EXPECT_GE(reports.begin()->first, window);
    }

    std::size_t storedRows(const std::string &prefix) const
    {
        return table.scan(prefix, 100000, "")->size();
    }

    memory_table table;
    int commits = 0;
    int failingCommit = 0; ///< Number of the commit that has no effect; 0: none.
    int unansweredCommit = 0; ///< Number of the commit that takes effect, but whose answer is lost.
    edge_settings relaySettings;
    std::unique_ptr<edge_context> relay;
    http_server relayServer;
    tcp::endpoint relayAddress;
};

}

// Guards against transactions that the store refuses because they are too large, and against writes that are lost or doubled in a split.
TEST_F(usage_relay_test, writes_are_split_at_the_limits_of_the_store)
{
    std::vector<row_write> writes;
    writes.reserve(257);
    for (int i = 0; i < 257; ++i) {
        writes.push_back({.key = absl::StrFormat("usage/%04d", i), .value = std::string(20, 'x')});
    }
    EXPECT_EQ(await(commitInParts(*context, writes)), commit_outcome::Committed);
    EXPECT_EQ(commits, 3);
    EXPECT_EQ(storedRows("usage/"), 257U);
    std::vector<row_write> large;
    large.reserve(30);
    for (int i = 0; i < 30; ++i) {
        large.push_back({.key = absl::StrFormat("large/%04d", i), .value = std::string(60000, 'x')});
    }
    EXPECT_EQ(await(commitInParts(*context, large)), commit_outcome::Committed);
    EXPECT_EQ(storedRows("large/"), 30U);
    // A part fails or its answer is lost: the outcome says so, and a repetition completes the writes.
    for (int *fault : {&failingCommit, &unansweredCommit}) {
        *fault = commits + 2;
        std::vector<row_write> deletions;
        deletions.reserve(writes.size());
        for (const auto &write : writes) {
            deletions.push_back({.key = write.key, .value = std::nullopt});
        }
        EXPECT_NE(await(commitInParts(*context, deletions)), commit_outcome::Committed);
        EXPECT_EQ(await(commitInParts(*context, deletions)), commit_outcome::Committed);
        EXPECT_EQ(storedRows("usage/"), 0U);
        EXPECT_EQ(await(commitInParts(*context, writes)), commit_outcome::Committed);
    }
}

// Guards against calls to the store that grow with the daemons: the usage rows of a failure domain go into one transaction.
TEST_F(usage_relay_test, a_relay_commits_the_rows_of_its_domain_together)
{
    relayServer.listen(relayAddress);
    int written = 0;
    for (int i = 0; i < 40; ++i) {
        asio::co_spawn(
            loop,
            [&, i]() -> task<void> {
                row_write write{.key = absl::StrFormat("usage/1/d-%d", i), .value = "{}"};
                written += co_await writeFinalUsage(*context, std::move(write)) == commit_outcome::Committed ? 1 : 0;
            },
            asio::detached);
    }
    EXPECT_TRUE(runUntil(
        [&] {
            return written == 40;
        },
        5s));
    EXPECT_EQ(commits, 1);
    EXPECT_EQ(storedRows("usage/1/"), 40U);
}

// Guards against usage that is lost because the relay is gone, or because its commit failed.
TEST_F(usage_relay_test, a_daemon_writes_its_row_itself_if_the_relay_fails)
{
    row_write first{.key = "usage/1/a", .value = "{}"};
    EXPECT_EQ(await(writeFinalUsage(*context, first)), commit_outcome::Committed); // Nothing listens at the relay's address.
    EXPECT_EQ(storedRows("usage/"), 1U);
    relayServer.listen(relayAddress);
    failingCommit = commits + 1;
    row_write second{.key = "usage/1/b", .value = "{}"};
    EXPECT_EQ(await(writeFinalUsage(*context, second)), commit_outcome::Committed);
    EXPECT_EQ(storedRows("usage/"), 2U);
}

// Guards against rows that a member could write outside the usage counts, and against writes of machines that are no members.
TEST_F(usage_relay_test, the_relay_writes_usage_rows_of_members_only)
{
    relayServer.listen(relayAddress);
    const auto post = [&](const std::string &body) {
        http_request request(http::verb::post, "/usage", 11);
        request.body() = body;
        request.prepare_payload();
        const auto answer = await(callServer(context->pool, relayAddress, request, {.deadline = bootNow() + 3s}));
        return answer.ok() ? answer->result_int() : 0U;
    };
    EXPECT_EQ(post(R"({"key":"usage/1/a","value":"{}"})"), 200U);
    EXPECT_EQ(post(R"({"key":"lease/main/platform","value":"{}"})"), 400U);
    EXPECT_EQ(post(R"({"key":"usage/1/a"})"), 400U);
    EXPECT_EQ(post("no json"), 400U);
    relay->members = {{"daemon-1", {.address = "127.0.0.9:1"}}};
    EXPECT_EQ(post(R"({"key":"usage/1/b","value":"{}"})"), 403U);
    EXPECT_EQ(storedRows(""), 1U);
}

// Guards against rows of old windows that stay in the store for ever, because a daemon wrote more of them than one transaction may delete, because a
// deletion failed, or because the holder of the duty changed.
TEST_F(usage_relay_test, rows_of_old_windows_are_deleted)
{
    settings.usageWindow = 5s;
    const std::int64_t current = wallMs() / 5000;
    for (const std::int64_t age : {60, 30, 20}) {
        transaction frozen{.writes = {{.key = absl::StrFormat("window/%020d", current - age), .value = "{}"}}};
        table.commit(frozen);
        for (int i = 0; i < 195; ++i) {
            transaction usage{.writes = {{.key = absl::StrFormat("usage/%020d/d-%03d", current - age, i), .value = R"({"counts":{},"final":true})"}}};
            table.commit(usage);
        }
    }
    failingCommit = 12; // One of the deletions, after the lease has been won.
    context->platform.orders.reportUsage = [](order_authority, std::int64_t, usage_counts) -> task<delivery_outcome> {
        co_return delivery_outcome::Accepted;
    };
    context->members = {{settings.id, {.address = "127.0.0.1:1", .failureDomain = "domain-a"}}};
    context->peers.clear();
    for (std::int64_t window = current - 2; window <= current + 8; ++window) {
        context->usage.countRequest("o", context->usage.windowEndMs(window) - 1);
    }
    lease_runner lease(*context, "platform");
    asio::co_spawn(loop, lease.run(), asio::detached);
    asio::co_spawn(loop, storeUsage(*context), asio::detached);
    asio::co_spawn(loop, reportUsage(*context, lease), asio::detached);
    EXPECT_TRUE(runUntil(
        [&] {
            return table.scan(absl::StrFormat("usage/%020d", current - 60), 1000, "")->empty()
                && table.scan(absl::StrFormat("usage/%020d", current - 30), 1000, "")->empty()
                && table.scan(absl::StrFormat("usage/%020d", current - 20), 1000, "")->empty()
                && !table.read(absl::StrFormat("window/%020d", current - 20))->has_value();
        },
        40s));
}

// Guards against a window that is reported twice, with other counts, because the store came back from a copy without its frozen row.
TEST_F(usage_relay_test, a_restored_store_changes_no_report)
{
    std::uint64_t history = 1;
    context->platform.store.history = [&history] {
        return history;
    };
    std::map<std::int64_t, std::set<std::string>> reports;
    recordReports(reports);
    countAlone();
    const auto copy = copyRows(table);
    lease_runner lease(*context, "platform");
    startDuties(lease);
    ASSERT_TRUE(runUntil(
        [&] {
            return reports.size() >= 2;
        },
        20s));
    // What was counted before the copy is counted on, as by a daemon that was restarted.
    restoreRows(table, copy);
    history = 2;
    context->storeRestoredAt = bootNow();
    const std::int64_t reported = reports.rbegin()->first;
    context->usage.countRequest("o", context->usage.windowEndMs(reported) - 1);
    ASSERT_TRUE(runUntil(
        [&] {
            return reports.rbegin()->first > reported;
        },
        20s));
    for (const auto &[window, counts] : reports) {
        EXPECT_EQ(counts.size(), 1U) << "window " << window;
    }
    EXPECT_GE(storedRows(absl::StrFormat("usage/%020d", reported)), 1U);
    EXPECT_TRUE(table.read(absl::StrFormat("window/%020d", reported))->has_value());
}

// Guards against a frozen row that is never written again, because the first write after the restore failed.
TEST_F(usage_relay_test, a_frozen_row_is_written_again_until_the_store_has_it)
{
    std::uint64_t history = 1;
    context->platform.store.history = [&history] {
        return history;
    };
    std::map<std::int64_t, std::set<std::string>> reports;
    recordReports(reports);
    countAlone();
    lease_runner lease(*context, "platform");
    startDuties(lease);
    const auto hasTwo = [&] {
        return reports.size() >= 2;
    };
    ASSERT_TRUE(runUntil(hasTwo, 20s));
    const std::string key = absl::StrFormat("window/%020d", reports.rbegin()->first);
    transaction removal{.writes = {{.key = key, .value = std::nullopt}}};
    table.commit(removal);
    int refused = 0;
    context->platform.store.commit = [&, commit = context->platform.store.commit](transaction change) -> task<commit_outcome> {
        if (change.writes.front().key == key && ++refused <= 2) {
            co_return refused == 1 ? commit_outcome::Unavailable : commit_outcome::Unknown;
        }
        co_return co_await commit(std::move(change));
    };
    history = 2;
    EXPECT_TRUE(runUntil(
        [&] {
            return refused > 2 && table.read(key)->has_value();
        },
        4s));
}

// Guards against a second report by a daemon that knows the first one, after a daemon that did not has frozen the window anew.
TEST_F(usage_relay_test, a_row_that_differs_from_what_was_reported_is_not_reported)
{
    std::uint64_t history = 1;
    context->platform.store.history = [&history] {
        return history;
    };
    std::map<std::int64_t, std::set<std::string>> reports;
    recordReports(reports);
    countAlone();
    lease_runner lease(*context, "platform");
    startDuties(lease);
    ASSERT_TRUE(runUntil(
        [&] {
            return reports.size() >= 2;
        },
        20s));
    const std::int64_t reported = reports.rbegin()->first;
    transaction other{.writes = {{.key = absl::StrFormat("window/%020d", reported), .value = R"({"o":77})"}}};
    table.commit(other);
    history = 2;
    ASSERT_TRUE(runUntil(
        [&] {
            return reports.rbegin()->first > reported;
        },
        20s));
    EXPECT_EQ(reports[reported].size(), 1U);
}

// Guards against the same by a daemon that knows nothing of the report.
TEST_F(usage_relay_test, windows_before_a_restore_are_not_reported_by_another_daemon)
{
    context->storeRestoredAt = bootNow();
    const std::int64_t current = countAlone();
    expectNoReportBefore(current);
}

// Guards against the same while the followers have not read the restored tables yet: any answer of the store shows the other history.
TEST_F(usage_relay_test, a_restore_is_known_before_the_tables_are_read_again)
{
    std::uint64_t history = 1;
    context->platform.store.history = [&history] {
        return history;
    };
    const std::int64_t current = countAlone();
    noteHistory(*context);
    history = 2;
    expectNoReportBefore(current);
}

// Guards against the same by a daemon that was started after the restore, with all others: only the record in the copy shows that there was one.
TEST_F(usage_relay_test, a_daemon_that_starts_in_a_restored_store_reports_no_window_before_it)
{
    storeRecord(1);
    startInHistory(2);
    const std::int64_t current = countAlone();
    expectNoReportBefore(current);
    const auto record = parseHistory(table.read("history")->value().value);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->history, 2U);
    EXPECT_GE(record->reportedBefore, current);
}

// Guards against the same by a daemon that starts later still, when no other daemon is left to tell it.
TEST_F(usage_relay_test, the_record_of_a_history_outlives_the_daemon_that_wrote_it)
{
    const std::int64_t current = context->usage.windowAt(context->correctedTimeMs());
    storeRecord(2, current);
    startInHistory(2);
    EXPECT_EQ(context->reportedBefore, current);
    EXPECT_EQ(commits, 0);
}

// Guards against usage that is never reported again, because a row names a window or a history that can't be, or can't be read at all.
TEST_F(usage_relay_test, an_odd_record_withholds_no_later_window)
{
    const std::int64_t current = context->usage.windowAt(context->correctedTimeMs());
    storeRecord(2, current + 1'000'000);
    startInHistory(2);
    EXPECT_LE(context->reportedBefore, current + 2);
    for (const char *odd : {"", "[]", R"({"history":-1,"reported_before":0})", R"({"history":99,"reported_before":0})", R"({"history":2})"}) {
        transaction change{.writes = {{.key = "history", .value = odd}}};
        table.commit(change);
        startInHistory(2);
        EXPECT_LE(context->reportedBefore, current + 2) << odd;
        const auto rewritten = [&] {
            const auto record = parseHistory(table.read("history")->value().value);
            return record && record->history == 2;
        };
        EXPECT_TRUE(runUntil(rewritten, 1s)) << odd;
    }
}

// Guards against a report while the store does not say whether it was restored.
TEST_F(usage_relay_test, no_window_is_reported_while_the_record_cannot_be_read)
{
    context->historyUnread = true;
    std::map<std::int64_t, std::set<std::string>> reports;
    recordReports(reports);
    countAlone();
    lease_runner lease(*context, "platform");
    startDuties(lease);
    const auto reported = [&] {
        return !reports.empty();
    };
    EXPECT_FALSE(runUntil(reported, 9s));
    context->historyUnread = false;
    EXPECT_TRUE(runUntil(reported, 3s));
}

// Guards against the same by a daemon that was started after the restore: it hears of the reported windows from the others.
TEST_F(usage_relay_test, a_daemon_that_knows_of_a_restore_tells_the_others_what_was_reported)
{
    asio::co_spawn(loop, storeUsage(*context), asio::detached);
    EXPECT_EQ(makeSummary(*context).reportedBefore, 0);
    context->storeRestoredAt = bootNow();
    const std::int64_t current = context->usage.windowAt(context->correctedTimeMs());
    ASSERT_TRUE(runUntil(
        [&] {
            return makeSummary(*context).reportedBefore >= current;
        },
        2s));
    const auto summary = makeSummary(*context);
    const auto decoded = parseExchange(encodeExchange(summary));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(std::get<daemon_summary>(*decoded).reportedBefore, summary.reportedBefore);
    // The aggregator of its domain passes it on.
    relay->exchange.setMembers({{"relay", "domain-a", 1}, {settings.id, "domain-a", 1}}, bootNow());
    auto received = std::get<daemon_summary>(*decoded);
    received.sender = settings.id;
    received.sequence = 1;
    received.incarnation = 1;
    relay->exchange.receive(received, bootNow(), wallMs());
    applyExchangeEvents(*relay);
    EXPECT_EQ(relay->reportedBefore, summary.reportedBefore);
    EXPECT_EQ(makeSummary(*relay).reportedBefore, summary.reportedBefore) << "it may be the last one that knows";
    relay->reportedBefore -= 100;
    EXPECT_EQ(makeSummary(*relay).reportedBefore, 0) << "no such window is reported any more";
}

}
