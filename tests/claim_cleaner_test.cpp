#include "coordination/claim_cleaner.h"

#include "control_harness.h"
#include "protocol/tunables.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

struct claim_cleaner_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    claim_cleaner cleaner;

    void addClaim(const std::string &key, const std::string &nonce, const std::string &state)
    {
        const auto before = table->read(key);
        const std::uint64_t version = before.ok() && *before ? (*before)->version : 0;
        const std::string value = R"({"nonce":")" + nonce + R"(","state":")" + state + "\"}";
        ASSERT_EQ(table->commit({.conditions = {{.key = key, .version = version}}, .writes = {{.key = key, .value = value}}}), commit_outcome::Committed);
    }
    bool exists(const std::string &key)
    {
        const auto found = table->read(key);
        return found.ok() && found->has_value();
    }
};

}

// Guards against completed claims that are never deleted, are deleted while callers may still retry, or belong to a later request.
TEST_F(claim_cleaner_test, deletes_completed_claims_after_a_day)
{
    const std::vector<std::string> states = {"done", "withdrawn", "open"};
    for (const auto &state : states) {
        addClaim("claim/o/" + state, "n", state);
        cleaner.scheduleDelete("claim/o/" + state, "n", harness.now);
    }
    addClaim("claim/o/later", "other", "done");
    cleaner.scheduleDelete("claim/o/later", "n", harness.now);
    harness.now += 24h - 1s;
    harness.runFor(cleaner, 900ms);
    EXPECT_EQ(cleaner.size(), 4U);
    EXPECT_TRUE(exists("claim/o/done"));
    harness.runFor(cleaner, 5s);
    EXPECT_EQ(cleaner.size(), 0U);
    EXPECT_FALSE(exists("claim/o/done"));
    EXPECT_FALSE(exists("claim/o/withdrawn"));
    EXPECT_TRUE(exists("claim/o/open"));
    EXPECT_TRUE(exists("claim/o/later"));
}

// Guards against a burst of deletes that uses up the store's write capacity, with one daemon and with many.
TEST_F(claim_cleaner_test, limits_the_delete_rate)
{
    for (const std::size_t daemons : {1U, 100U}) {
        for (int i = 0; i < 100; ++i) {
            const std::string key = "claim/o/" + std::to_string(daemons) + "-" + std::to_string(i);
            addClaim(key, "n", "done");
            cleaner.scheduleDelete(key, "n", harness.now);
        }
        cleaner.setDaemonCount(daemons);
        harness.now += 24h;
        harness.runFor(cleaner, 10s);
        const std::size_t deleted = 100 - cleaner.size();
        EXPECT_GE(deleted, daemons == 1 ? 15U : 1U);
        EXPECT_LE(deleted, daemons == 1 ? 30U : 3U); // Limits: at most three deletes per second from one daemon and twenty from all daemons.
        cleaner.setDaemonCount(1);
        harness.runFor(cleaner, 100s);
        ASSERT_EQ(cleaner.size(), 0U);
    }
}

// Guards against rows that drop out of the queue while the store is down or when its answer is lost.
TEST_F(claim_cleaner_test, retries_after_an_outage)
{
    addClaim("claim/o/1", "n", "done");
    cleaner.scheduleDelete("claim/o/1", "n", harness.now);
    harness.now += 24h;
    harness.storeDown = true;
    harness.runFor(cleaner, 5min);
    EXPECT_EQ(cleaner.size(), 1U);
    harness.storeDown = false;
    harness.commitFaults = {commit_fault::Unavailable, commit_fault::LostBeforeEffect, commit_fault::LostAfterEffect};
    harness.runFor(cleaner, 6min);
    EXPECT_EQ(cleaner.size(), 0U);
    EXPECT_FALSE(exists("claim/o/1"));
}

}
