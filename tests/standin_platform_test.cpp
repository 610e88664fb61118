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
    int orderEndpoints(const char *token, int epoch, int count, nlohmann::json &response)
    {
        const auto result = postJson(service.server(),
                                     "/endpoints/orders",
                                     {{"token", token}, {"epoch", epoch}, {"group", "g"}, {"failure_domain", "a"}, {"reclaimable", true}, {"count", count}});
        response = nlohmann::json::parse(result->body);
        return result->status;
    }
    void postFault(const nlohmann::json &body)
    {
        postJson(service.server(), "/faults", body);
    }

    fleet endpoints;
    platform service{{.instanceLag = std::chrono::milliseconds(0)}, endpoints};
};

// Guards against a wire format of the fake that differs from the one of http_table.
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

// Guards against confusion of two store faults: a commit has no effect during an outage, but takes effect when only its response is lost.
TEST_F(standin_platform, distinguishes_a_store_outage_from_a_lost_answer)
{
    http_table client("127.0.0.1", service.server().port());
    postFault({{"name", "store_outage"}, {"count", 1}});
    EXPECT_EQ(client.commit({.writes = {{.key = "a", .value = "1"}}}), commit_outcome::Unavailable);
    EXPECT_FALSE((*client.read("a")).has_value());
    postFault({{"name", "answer_lost"}, {"count", 1}});
    EXPECT_EQ(client.commit({.writes = {{.key = "a", .value = "1"}}}), commit_outcome::Unknown);
    EXPECT_TRUE((*client.read("a")).has_value());
}

// Guards against a repeated order that starts endpoints again, and against an order of a previous lease holder that is not counted as stale.
TEST_F(standin_platform, grants_endpoints_once_per_token)
{
    ASSERT_TRUE(endpoints.add({{"id", "e0"}, {"group", "g"}, {"failure_domain", "b"}}).ok());
    nlohmann::json first;
    nlohmann::json repeated;
    EXPECT_EQ(orderEndpoints("t1", 2, 2, first), 200);
    EXPECT_EQ(orderEndpoints("t1", 3, 2, repeated), 200);
    EXPECT_EQ(first, repeated);
    EXPECT_EQ(first["granted"].size(), 2U);
    EXPECT_EQ(orderEndpoints("t2", 1, 1, repeated), 409);
    EXPECT_EQ(getJson(service.server(), "/endpoints/orders")["stale"], 1);
    EXPECT_EQ(getJson(service.server(), "/endpoints").size(), 3U);
}

// Guards against endpoints that are granted during a shortage, and against a reclaim without notice or of other endpoints.
TEST_F(standin_platform, reclaims_a_failure_domain_after_notice)
{
    ASSERT_TRUE(endpoints.add({{"id", "e0"}, {"group", "g"}, {"failure_domain", "b"}}).ok());
    nlohmann::json response;
    postFault({{"name", "no_endpoints"}, {"value", {{"failure_domain", "a"}, {"reclaimable", true}}}, {"count", 1}});
    orderEndpoints("t1", 1, 1, response);
    EXPECT_TRUE(response["granted"].empty());
    orderEndpoints("t2", 1, 1, response);
    EXPECT_EQ(response["granted"].size(), 1U);
    postFault({{"name", "reclaim"}, {"value", {{"failure_domain", "a"}, {"notice_ms", 100}}}});
    const auto noticed = endpoints.list();
    ASSERT_EQ(noticed.size(), 2U);
    EXPECT_FALSE(noticed[0].leaving);
    EXPECT_TRUE(noticed[1].leaving);
    for (int attempt = 0; attempt < 200 && endpoints.list().size() > 1; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(endpoints.list().size(), 1U);
}

// Guards against a usage window that is reported again with different figures and is not counted as a conflict.
TEST_F(standin_platform, flags_a_window_reported_with_other_figures)
{
    const auto reportRequests = [&](int requests) {
        postJson(service.server(), "/usage/reports", {{"cell", "main"}, {"window", 7}, {"epoch", 1}, {"figures", {{"org", {{"requests", requests}}}}}});
    };
    reportRequests(1);
    reportRequests(1);
    EXPECT_EQ(getJson(service.server(), "/usage/reports")["conflicts"], 0);
    reportRequests(2);
    EXPECT_EQ(getJson(service.server(), "/usage/reports")["conflicts"], 1);
}

// Guards against an instance list that changes while it is frozen, or stays frozen afterwards.
TEST_F(standin_platform, freezes_the_instance_list)
{
    postJson(service.server(), "/instances", {{"id", "i1"}, {"address", "127.0.0.1:1"}, {"failure_domain", "a"}});
    EXPECT_EQ(getJson(service.server(), "/instances").size(), 1U);
    postFault({{"name", "frozen_instances"}});
    postJson(service.server(), "/instances", {{"id", "i2"}});
    EXPECT_EQ(getJson(service.server(), "/instances").size(), 1U);
    postFault({{"name", "frozen_instances"}, {"value", false}});
    EXPECT_EQ(getJson(service.server(), "/instances").size(), 2U);
}

// Guards against an execution that is not counted because its response was lost; tests of not_run rely on this count.
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
