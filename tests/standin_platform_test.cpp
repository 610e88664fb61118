#include "standin_fixture.h"
#include "state/table_store.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

class standin_platform : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(service.start());
    }
    int order(const char *token, int epoch, int count, nlohmann::json &answer)
    {
        const auto result = postJson(service.server(),
                                     "/endpoints/orders",
                                     {{"token", token}, {"epoch", epoch}, {"group", "g"}, {"failure_domain", "a"}, {"reclaimable", true}, {"count", count}});
        answer = nlohmann::json::parse(result->body);
        return result->status;
    }
    void fault(const nlohmann::json &body)
    {
        postJson(service.server(), "/faults", body);
    }

    fleet endpoints;
    platform service{{.instanceLag = std::chrono::milliseconds(0)}, endpoints};
};

// Guards against a wire format that the system's own client doesn't understand.
TEST_F(standin_platform, serves_the_table_client)
{
    http_table client("127.0.0.1", service.server().port());
    const transaction create = {.conditions = {{.key = "a/1", .version = 0}}, .writes = {{.key = "a/1", .value = "x"}}};
    EXPECT_EQ(client.commit(create), commit_outcome::Committed);
    EXPECT_EQ(client.commit(create), commit_outcome::Conflict);
    EXPECT_EQ((*client.read("a/1"))->value, "x");
    EXPECT_FALSE((*client.read("a/2")).has_value());
    EXPECT_EQ(client.scan("a/", 10, {})->size(), 1U);
    EXPECT_TRUE(client.scan("a/", 10, "a/1")->empty());
}

// Guards against store faults that look alike: an outage has no effect, a lost answer has.
TEST_F(standin_platform, tells_store_faults_apart)
{
    http_table client("127.0.0.1", service.server().port());
    fault({{"name", "store_outage"}, {"count", 1}});
    EXPECT_EQ(client.commit({.writes = {{.key = "a", .value = "1"}}}), commit_outcome::Unavailable);
    EXPECT_FALSE((*client.read("a")).has_value());
    fault({{"name", "answer_lost"}, {"count", 1}});
    EXPECT_EQ(client.commit({.writes = {{.key = "a", .value = "1"}}}), commit_outcome::Unknown);
    EXPECT_TRUE((*client.read("a")).has_value());
}

// Guards against a repeated order that starts more endpoints, and an order of a former holder that goes unseen.
TEST_F(standin_platform, grants_endpoints_once_per_token)
{
    ASSERT_TRUE(endpoints.add({{"id", "e0"}, {"group", "g"}, {"failure_domain", "b"}}).ok());
    nlohmann::json first;
    nlohmann::json again;
    EXPECT_EQ(order("t1", 2, 2, first), 200);
    EXPECT_EQ(order("t1", 3, 2, again), 200);
    EXPECT_EQ(first, again);
    EXPECT_EQ(first["granted"].size(), 2U);
    EXPECT_EQ(order("t2", 1, 1, again), 409);
    EXPECT_EQ(getJson(service.server(), "/endpoints/orders")["stale"], 1);
    EXPECT_EQ(getJson(service.server(), "/endpoints").size(), 3U);
}

// Guards against a shortage that still grants, and a reclaim that takes other endpoints or no notice.
TEST_F(standin_platform, reclaims_a_failure_domain_after_notice)
{
    ASSERT_TRUE(endpoints.add({{"id", "e0"}, {"group", "g"}, {"failure_domain", "b"}}).ok());
    nlohmann::json answer;
    fault({{"name", "no_endpoints"}, {"value", {{"failure_domain", "a"}, {"reclaimable", true}}}, {"count", 1}});
    order("t1", 1, 1, answer);
    EXPECT_TRUE(answer["granted"].empty());
    order("t2", 1, 1, answer);
    EXPECT_EQ(answer["granted"].size(), 1U);
    fault({{"name", "reclaim"}, {"value", {{"failure_domain", "a"}, {"notice_ms", 100}}}});
    const auto noticed = endpoints.list();
    ASSERT_EQ(noticed.size(), 2U);
    EXPECT_FALSE(noticed[0].leaving);
    EXPECT_TRUE(noticed[1].leaving);
    for (int attempt = 0; attempt < 200 && endpoints.list().size() > 1; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(endpoints.list().size(), 1U);
}

// Guards against a window that is reported twice with different figures without anyone seeing it.
TEST_F(standin_platform, flags_a_window_reported_with_other_figures)
{
    const auto report = [&](int requests) {
        postJson(service.server(), "/usage/reports", {{"cell", "main"}, {"window", 7}, {"epoch", 1}, {"figures", {{"org", {{"requests", requests}}}}}});
    };
    report(1);
    report(1);
    EXPECT_EQ(getJson(service.server(), "/usage/reports")["conflicts"], 0);
    report(2);
    EXPECT_EQ(getJson(service.server(), "/usage/reports")["conflicts"], 1);
}

// Guards against a frozen list that still changes.
TEST_F(standin_platform, freezes_the_instance_list)
{
    postJson(service.server(), "/instances", {{"id", "i1"}, {"address", "127.0.0.1:1"}, {"failure_domain", "a"}});
    EXPECT_EQ(getJson(service.server(), "/instances").size(), 1U);
    fault({{"name", "frozen_instances"}});
    postJson(service.server(), "/instances", {{"id", "i2"}});
    EXPECT_EQ(getJson(service.server(), "/instances").size(), 1U);
    fault({{"name", "frozen_instances"}, {"value", false}});
    EXPECT_EQ(getJson(service.server(), "/instances").size(), 2U);
}

// Guards against a lost answer that hides the execution, which tests of not_run rely on.
TEST_F(standin_platform, service_counts_an_execution_whose_answer_was_lost)
{
    plain_service bookings({.id = "s1"});
    ASSERT_TRUE(bookings.start());
    bookings.setFault({{"name", "answer_lost"}, {"count", 1}});
    EXPECT_FALSE(postJson(bookings.server(), "/bookings", {{"idempotency_id", "b1"}}));
    EXPECT_EQ(postJson(bookings.server(), "/bookings", {{"idempotency_id", "b1"}})->status, 201);
    EXPECT_EQ(getJson(bookings.server(), "/executions")["executions"]["b1"], 2);
    bookings.stop();
}

}

}
