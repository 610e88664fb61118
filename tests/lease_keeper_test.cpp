#include "control_bench.h"
#include "coordination/lease_keeper.h"
#include "protocol/tunables.h"

#include <gtest/gtest.h>
#include <random>

namespace lacewinglock
{

namespace
{

class lease_keeper_test : public testing::Test
{
protected:
    memory_table table;
    store_actor store{.table = table};
    lease_keeper first{"main", "orders", "d1/a"};
    lease_keeper second{"main", "orders", "d2/a"};

    void tick(lease_keeper &keeper, double seconds)
    {
        store.drive(keeper, tick_event{}, at(seconds));
    }

    void tickRange(lease_keeper &keeper, double from, double to)
    {
        for (double now = from; now < to; now += 0.1) {
            tick(keeper, now);
        }
    }
};

// Guards against a holder that loses its lease although it renews on time.
TEST_F(lease_keeper_test, renews_and_keeps_the_epoch)
{
    for (double now = 1; now < 30; now += 0.1) {
        tick(first, now);
        tick(second, now);
        ASSERT_TRUE(first.grant(at(now)));
        ASSERT_FALSE(second.grant(at(now)));
    }
    EXPECT_EQ(first.grant(at(30))->epoch, 1U);
}

// Guards against counting the validity from the answer of a renewal instead of from before it was sent.
TEST_F(lease_keeper_test, a_slow_answer_shortens_the_validity)
{
    std::vector<control_effect> out;
    first.handle(tick_event{}, at(1), out);
    const auto read = store.perform(out.front());
    out.clear();
    first.handle(read, at(1), out);
    const auto committed = store.perform(out.front());
    out.clear();
    first.handle(committed, at(4), out);
    ASSERT_TRUE(first.grant(at(6.4)));
    EXPECT_FALSE(first.grant(at(6.5)));
}

// Guards against a paused holder that resumes and still believes it holds the lease, and against a successor that does not wait.
TEST_F(lease_keeper_test, a_paused_holder_has_lapsed_before_the_successor_acts)
{
    tickRange(first, 1, 3);
    const auto paused = *first.grant(at(3));
    double acquired = 0;
    for (double now = 3; now < 20 && acquired == 0; now += 0.1) {
        tick(second, now);
        acquired = second.grant(at(now)) ? now : 0;
    }
    ASSERT_GT(acquired, 0);
    EXPECT_GE(at(acquired), paused.validUntil + duration(tunables::leaseDriftMargin));
    EXPECT_EQ(second.grant(at(acquired))->epoch, paused.epoch + 1);
    EXPECT_FALSE(first.grant(at(acquired)));
    tick(first, acquired);
    EXPECT_FALSE(first.grant(at(acquired))) << "the lapsed holder must not renew over its successor";
}

// Guards against taking a lost answer for a failure, or for a success without reading the nonce back.
TEST_F(lease_keeper_test, a_lost_answer_is_resolved_by_the_nonce)
{
    store.loseCommitAnswers = true;
    tickRange(first, 1, 20);
    ASSERT_TRUE(first.grant(at(20)));
    EXPECT_EQ(first.grant(at(20))->epoch, 1U);
}

// Guards against a lost answer of a commit that did not take effect because a contender was faster.
TEST_F(lease_keeper_test, a_lost_answer_of_a_rejected_commit_gives_no_lease)
{
    std::vector<control_effect> out;
    first.handle(tick_event{}, at(1), out);
    const auto read = store.perform(out.front());
    out.clear();
    first.handle(read, at(1), out);
    tick(second, 1);
    store.loseCommitAnswers = true;
    const auto lost = store.perform(out.front());
    store.loseCommitAnswers = false;
    store.drive(first, lost, at(1.1));
    EXPECT_FALSE(first.grant(at(1.1)));
    EXPECT_TRUE(second.grant(at(1.1)));
}

// Guards against a commit that lands after its answer was lost and after the read-back, whose lease must count from its sending.
TEST_F(lease_keeper_test, a_commit_that_lands_late_counts_from_its_sending)
{
    std::vector<control_effect> out;
    first.handle(tick_event{}, at(1), out);
    const auto read = store.perform(out.front());
    out.clear();
    first.handle(read, at(1), out);
    const auto delayed = std::get<commit_effect>(out.front());
    out.clear();
    first.handle(commit_event{.op = delayed.op, .outcome = commit_outcome::Unknown}, at(2), out);
    store.down = true;
    store.drive(first, store.perform(out.front()), at(2));
    store.down = false;
    store.perform(delayed);
    out.clear();
    first.handle(tick_event{}, at(3.1), out);
    const auto seen = store.perform(out.front());
    out.clear();
    first.handle(seen, at(3.1), out);
    ASSERT_TRUE(first.grant(at(3.1)));
    EXPECT_EQ(first.grant(at(3.1))->validUntil, at(6.5));
}

// Guards against two holders at once: random pauses, lost answers and outages, and clocks that drift within the margin.
TEST_F(lease_keeper_test, two_contenders_never_hold_it_together)
{
    std::mt19937 random(20240611); // NOLINT(bugprone-random-generator-seed): the run must be repeatable.
    constexpr double drift = 0.02; // Two clocks 2% apart each way differ by 240 ms over a term, within the margin.
    std::array<double, 2> pausedUntil{};
    int changes = 0;
    std::uint64_t lastEpoch = 0;
    for (double now = 1; now < 4000; now += 0.1) {
        for (int side = 0; side < 2; ++side) {
            store.loseCommitAnswers = random() % 4 == 0;
            store.down = random() % 10 == 0;
            if (random() % 150 == 0) {
                pausedUntil[side] = now + static_cast<double>(random() % 120) / 10.0;
            }
            if (now >= pausedUntil[side]) {
                auto &keeper = side == 0 ? first : second;
                tick(keeper, now * (side == 0 ? 1 + drift : 1 - drift));
            }
        }
        const auto one = first.grant(at(now * (1 + drift)));
        const auto two = second.grant(at(now * (1 - drift)));
        ASSERT_FALSE(one && two) << "at " << now;
        const std::uint64_t epoch = one ? one->epoch : (two ? two->epoch : lastEpoch);
        ASSERT_GE(epoch, lastEpoch);
        changes += epoch > lastEpoch ? 1 : 0;
        lastEpoch = epoch;
    }
    EXPECT_GT(changes, 20) << "the faults must have moved the lease";
}

// Guards against a hand-over that makes the successor wait a whole term, and against a drained daemon that takes the lease back.
TEST_F(lease_keeper_test, release_hands_over_at_once)
{
    tickRange(first, 1, 3);
    std::vector<control_effect> out;
    first.release(at(3), out);
    EXPECT_FALSE(first.grant(at(3)));
    ASSERT_EQ(out.size(), 1U);
    store.drive(first, store.perform(out.front()), at(3));
    EXPECT_TRUE(first.released());
    tickRange(second, 3, 3.5);
    EXPECT_TRUE(second.grant(at(3.5)));
    tickRange(first, 3.5, 30);
    EXPECT_FALSE(first.grant(at(30)));
}

// Guards against all daemons contending for every duty at once.
TEST_F(lease_keeper_test, a_lower_rank_waits)
{
    second.setRank(2);
    tick(second, 1);
    EXPECT_FALSE(second.grant(at(1)));
    tick(first, 1.2);
    EXPECT_TRUE(first.grant(at(1.2)));
}

}

}
