#include "coordination/usage_keeper.h"

#include "control_harness.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

usage_record makeRecord(std::string organisation, std::uint64_t tokens)
{
    return {.requestId = "r", .organisation = std::move(organisation), .figures = {.requests = 1, .outputTokens = tokens}};
}

struct usage_keeper_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    usage_ledger ledger;
    usage_batcher batcher{"main", "d1", "i1", ledger};
    usage_keeper keeper{"main"};

    lease_grant grant(std::uint64_t epoch) const
    {
        return {.epoch = epoch, .validUntil = harness.now + 1h, .acquiredAt = harness.now};
    }

    void setWindow(std::uint64_t current)
    {
        batcher.setWindow({.current = current, .firstNotClosable = current});
        keeper.setWindow({.current = current, .firstNotClosable = current});
    }

    std::uint64_t reportedTokens(std::uint64_t window) const
    {
        for (const auto &report : harness.reports) {
            if (const auto found = report.figures.find("org"); report.window == window && found != report.figures.end()) {
                return found->second.outputTokens;
            }
        }
        return 0;
    }
};

}

// Guards against windows that are skipped, reported early or summed wrongly.
TEST_F(usage_keeper_test, reports_each_window_once)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(makeRecord("org", 5));
    ledger.add(makeRecord("org", 7));
    harness.runFor(batcher, 1s);
    harness.runFor(keeper, 2s);
    EXPECT_TRUE(harness.reports.empty());
    setWindow(102);
    harness.runFor(keeper, 5s);
    ASSERT_EQ(harness.reports.size(), 2U);
    EXPECT_EQ(reportedTokens(100), 12U);
}

// Guards against billing twice when the answer to a batch commit is lost after it took effect.
TEST_F(usage_keeper_test, bills_a_batch_once_when_its_answer_is_lost)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    harness.commitFaults = {commit_fault::LostAfterEffect};
    ledger.add(makeRecord("org", 5));
    harness.runFor(batcher, 1s);
    setWindow(101);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 5U);
    EXPECT_TRUE(batcher.idle());
}

// Guards against billing twice when a lost batch answer is resolved only after the window was frozen and its batch rows deleted.
TEST_F(usage_keeper_test, finds_a_counted_batch_after_the_window_was_frozen)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    harness.commitFaults = {commit_fault::LostAfterEffect};
    ledger.add(makeRecord("org", 5));
    harness.run(batcher);
    setWindow(101);
    harness.runFor(keeper, 5s);
    harness.runFor(batcher, 2s);
    setWindow(103);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 5U);
    EXPECT_EQ(reportedTokens(101) + reportedTokens(102), 0U);
}

// Guards against losing usage that arrives after its window was closed.
TEST_F(usage_keeper_test, moves_late_usage_to_an_open_window)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(makeRecord("org", 1));
    harness.runFor(batcher, 1s);
    keeper.setWindow({.current = 101, .firstNotClosable = 101});
    harness.runFor(keeper, 5s);
    ledger.add(makeRecord("org", 9));
    harness.now += 10s;
    harness.runFor(batcher, 1s); // The batcher's current window is still 100.
    setWindow(103);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 1U);
    EXPECT_EQ(reportedTokens(101), 9U);
}

// Guards against a new lease holder that reports different figures, or reports while the former holder may still be sending.
TEST_F(usage_keeper_test, successor_waits_and_repeats_the_same_figures)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(makeRecord("org", 5));
    harness.runFor(batcher, 1s);
    harness.deliveryOutcome = [] {
        return delivery_outcome::Unknown;
    };
    setWindow(101);
    harness.runFor(keeper, 3s);
    const auto first = harness.reports.size();
    ASSERT_GE(first, 1U);
    usage_keeper successor{"main"};
    successor.setWindow({.current = 101, .firstNotClosable = 101});
    successor.setGrant(grant(2));
    harness.runFor(successor, 6s);
    EXPECT_EQ(harness.reports.size(), first);
    harness.deliveryOutcome = [] {
        return delivery_outcome::Accepted;
    };
    harness.runFor(successor, 4s);
    ASSERT_EQ(harness.reports.size(), first + 1);
    EXPECT_EQ(harness.reports.front().figures, harness.reports.back().figures);
}

// Guards against reports from a holder whose lease has expired.
TEST_F(usage_keeper_test, sends_nothing_after_the_lease_expired)
{
    setWindow(100);
    keeper.setGrant(lease_grant{.epoch = 1, .validUntil = harness.now + 1s, .acquiredAt = harness.now});
    ledger.add(makeRecord("org", 5));
    harness.runFor(batcher, 500ms);
    harness.now += 2s;
    setWindow(105);
    harness.runFor(keeper, 5s);
    EXPECT_TRUE(harness.reports.empty());
}

// Guards against a store outage that loses or repeats a report.
TEST_F(usage_keeper_test, continues_after_a_store_outage)
{
    setWindow(100);
    keeper.setGrant(grant(1));
    ledger.add(makeRecord("org", 5));
    harness.storeDown = true;
    harness.runFor(batcher, 20s);
    setWindow(101);
    harness.runFor(keeper, 20s);
    EXPECT_TRUE(harness.reports.empty());
    harness.storeDown = false;
    harness.runFor(batcher, 1s);
    harness.runFor(keeper, 5s);
    EXPECT_EQ(reportedTokens(100), 5U);
    EXPECT_EQ(harness.reports.size(), 1U);
}

/// A daemon `d1` that serves requests, and two peers that can hold copies of its records. All three use one table.
struct usage_adoption_test : usage_keeper_test
{
    usage_ledger peerLedger;
    usage_ledger otherLedger;
    usage_batcher peer{"main", "d2", "i2", peerLedger};
    usage_batcher other{"main", "d3", "i3", otherLedger};

    void SetUp() override
    {
        ledger.setReplicate([this](const usage_record &record) {
            peerLedger.storeReplicas("d1", {record});
            return true;
        });
        setWindow(100);
        keeper.setGrant(grant(1));
    }

    void setWindow(std::uint64_t current)
    {
        usage_keeper_test::setWindow(current);
        peer.setWindow({.current = current, .firstNotClosable = current});
        other.setWindow({.current = current, .firstNotClosable = current});
    }

    void serve(const std::string &requestId, std::uint64_t tokens)
    {
        auto record = makeRecord("org", tokens);
        record.requestId = requestId;
        ledger.add(record);
    }

    static void adoptFromDepartedOwner(usage_ledger &holder)
    {
        holder.adoptOrphans([](std::string_view) {
            return false;
        });
    }

    /// Closes all windows and returns the tokens billed in all of them.
    std::uint64_t billedTokens()
    {
        setWindow(110);
        harness.runFor(keeper, 60s);
        std::uint64_t sum = 0;
        for (std::uint64_t window = 100; window < 110; ++window) {
            sum += reportedTokens(window);
        }
        return sum;
    }
};

// Guards against billing twice when a batch committed, but the message that releases the peer's copies was lost and the daemon left the
// roster.
TEST_F(usage_adoption_test, a_peer_does_not_write_copies_whose_release_was_lost)
{
    serve("r1", 5);
    harness.runFor(batcher, 1s);
    EXPECT_TRUE(batcher.idle());
    adoptFromDepartedOwner(peerLedger);
    harness.runFor(peer, 1s);
    EXPECT_TRUE(peer.idle());
    EXPECT_EQ(billedTokens(), 5U);
}

// Guards against billing twice when a peer writes copies after the batch row was deleted with the freezing of its window, and the answers
// of both commits are lost.
TEST_F(usage_adoption_test, a_peer_finds_counted_records_after_the_window_was_frozen)
{
    harness.commitFaults = {commit_fault::LostAfterEffect};
    serve("r1", 5);
    harness.run(batcher);
    setWindow(101);
    harness.runFor(keeper, 5s);
    serve("r2", 7); // Its owner never writes this record.
    adoptFromDepartedOwner(peerLedger);
    harness.commitFaults = {commit_fault::LostAfterEffect};
    harness.runFor(peer, 1s);
    EXPECT_TRUE(peer.idle());
    EXPECT_EQ(billedTokens(), 12U);
}

// Guards against billing twice when the owner was only partitioned and writes the records itself after it returns.
TEST_F(usage_adoption_test, a_returning_owner_does_not_write_adopted_records)
{
    serve("r1", 5);
    adoptFromDepartedOwner(peerLedger);
    harness.runFor(peer, 1s);
    serve("r2", 7);
    harness.runFor(batcher, 1s);
    EXPECT_TRUE(batcher.idle());
    EXPECT_EQ(billedTokens(), 12U);
}

// Guards against billing twice in a race: a commit that the owner sent before it was partitioned takes effect between the peer's read and
// the peer's commit.
TEST_F(usage_adoption_test, a_delayed_commit_of_the_owner_and_an_adoption_exclude_each_other)
{
    serve("r1", 5);
    const auto startCommit = [&](usage_batcher &sender) {
        std::vector<control_effect> effects;
        sender.handle(tick_event{}, harness.now, effects);
        const auto answer = harness.perform(effects.at(0));
        effects.clear();
        sender.handle(answer, harness.now, effects);
        return std::get<commit_effect>(effects.at(0));
    };
    const auto ownerCommit = startCommit(batcher);
    adoptFromDepartedOwner(peerLedger);
    const auto peerCommit = startCommit(peer);
    std::vector<control_effect> effects;
    EXPECT_EQ(table->commit(ownerCommit.change), commit_outcome::Committed);
    EXPECT_EQ(table->commit(peerCommit.change), commit_outcome::Conflict);
    peer.handle(commit_event{.op = peerCommit.op, .outcome = commit_outcome::Conflict}, harness.now, effects);
    while (!effects.empty()) {
        for (const auto &effect : std::exchange(effects, {})) {
            peer.handle(harness.perform(effect), harness.now, effects);
        }
    }
    harness.runFor(peer, 1s);
    EXPECT_TRUE(peer.idle());
    EXPECT_EQ(billedTokens(), 5U);
}

// Guards against billing twice when the first peer's answer to a copy was lost and the copy was then sent to a second peer as well.
TEST_F(usage_adoption_test, two_peers_with_a_copy_of_one_record_bill_it_once)
{
    ledger.setReplicate([this](const usage_record &record) {
        peerLedger.storeReplicas("d1", {record});
        otherLedger.storeReplicas("d1", {record});
        return true;
    });
    serve("r1", 5);
    adoptFromDepartedOwner(peerLedger);
    adoptFromDepartedOwner(otherLedger);
    harness.commitFaults = {commit_fault::LostAfterEffect, commit_fault::LostBeforeEffect};
    harness.runFor(peer, 1s);
    harness.runFor(other, 1s);
    EXPECT_TRUE(peer.idle() && other.idle());
    EXPECT_EQ(billedTokens(), 5U);
}

// Guards against losing the usage of a daemon that restarted under the same name before it left the roster.
TEST_F(usage_adoption_test, copies_of_an_earlier_process_of_a_member_are_written)
{
    serve("r1", 5);
    usage_record next = makeRecord("org", 7);
    next.requestId = "r2";
    next.writer = "d1-restarted";
    next.number = 1;
    peerLedger.storeReplicas("d1", {next});
    peerLedger.adoptOrphans([](std::string_view) {
        return true;
    });
    harness.runFor(peer, 1s);
    EXPECT_EQ(peerLedger.replicaCount(), 1U);
    EXPECT_EQ(billedTokens(), 5U);
}

// Guards against a writer row that marks unbilled records as billed.
TEST(usage_writer_row_test, ranges_contain_exactly_the_added_numbers)
{
    usage_writer_row row;
    for (const std::uint64_t number : {5U, 1U, 3U, 2U, 9U, 2U}) {
        row.add(number);
    }
    const auto parsed = parseUsageWriter(formatUsageWriter(row));
    ASSERT_TRUE(parsed.ok());
    std::vector<std::uint64_t> contained;
    for (std::uint64_t number = 0; number <= 11; ++number) {
        if (parsed->contains(number)) {
            contained.push_back(number);
        }
    }
    EXPECT_EQ(contained, (std::vector<std::uint64_t>{1, 2, 3, 5, 9}));
    EXPECT_EQ(parsed->billed.size(), 3U);
}

}
