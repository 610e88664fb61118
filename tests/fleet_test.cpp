#include "control_harness.h"
#include "coordination/config_rows.h"
#include "coordination/effect_runner.h"
#include "coordination/fleet_control.h"
#include "coordination/fleet_watch.h"
#include "coordination/node.h"
#include "protocol/tunables.h"
#include "standin_fixture.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// The effect runner against the stand-in of the platform and its engines, over loopback.
struct standin_effects : testing::Test
{
    fleet endpoints;
    platform service{{.instanceLag = 0ms}, endpoints};
    table_store store{std::make_shared<memory_table>()};
    instant now = instant(1h);

    void SetUp() override
    {
        ASSERT_TRUE(service.start());
        ASSERT_TRUE(endpoints.add({{"id", "e0"}, {"group", "g"}, {"failure_domain", "b"}}).ok());
    }

    template <typename Answer, typename Effect>
    Answer perform(const Effect &effect)
    {
        effect_runner runner({.store = store,
                              .platform = {.port = service.server().port()},
                              .now =
                                  [this] {
                                      return now;
                                  },
                              .addressOf =
                                  [this](const std::string &) {
                                      return std::optional(endpoints.list().front().address);
                                  }},
                             1);
        return std::get<Answer>(runner.perform(effect));
    }
};

// Guards against an order that the engine does not understand, and against a refused one that counts as taken.
TEST_F(standin_effects, an_engine_takes_an_order)
{
    const auto send = [&](std::uint64_t epoch, std::uint64_t revision) {
        const endpoint_order order{.endpoint = "e0", .revision = revision, .epoch = epoch, .kind = order_kind::SetRole, .role = endpoint_role::Decode};
        return perform<delivery_event>(send_order_effect{.op = 1, .order = order, .validUntil = now + duration(1s)}).outcome;
    };
    EXPECT_EQ(send(3, 1), delivery::Accepted);
    EXPECT_EQ(send(2, 2), delivery::Fenced);
    const auto audit = endpoints.audit();
    EXPECT_EQ(audit["e0"]["orders"][0]["content"]["role"], "decode");
}

// Guards against a provision order whose place or kind the platform ignores, and against grants that are not read.
TEST_F(standin_effects, the_platform_grants_endpoints)
{
    const provision_order order{.token = "t1", .epoch = 1, .group = "g", .failureDomain = "a", .reclaimable = true, .count = 2};
    const auto answer = perform<delivery_event>(send_provision_effect{.op = 1, .order = order, .validUntil = now + duration(1s)});
    EXPECT_EQ(answer.outcome, delivery::Accepted);
    ASSERT_EQ(answer.endpoints.size(), 2U);
    for (const auto &endpoint : endpoints.list()) {
        if (endpoint.id != "e0") {
            EXPECT_EQ(endpoint.failureDomain, "a");
            EXPECT_TRUE(endpoint.reclaimable);
            EXPECT_NE(std::ranges::find(answer.endpoints, endpoint.id), answer.endpoints.end());
        }
    }
    const provision_order release{.token = "t2", .epoch = 1, .group = "g", .count = -1, .release = {answer.endpoints.front()}};
    perform<delivery_event>(send_provision_effect{.op = 2, .order = release, .validUntil = now + duration(1s)});
    EXPECT_EQ(endpoints.list().size(), 2U);
}

// Guards against figures that arrive under other names or as other numbers.
TEST_F(standin_effects, the_platform_takes_a_usage_report)
{
    const usage_figures figures{.requests = 1, .promptTokens = 2, .cachedTokens = 3, .outputTokens = 4, .serviceCalls = 5};
    const usage_report report{.cell = "main", .window = 7, .epoch = 1, .figures = {{"org", figures}}};
    EXPECT_EQ(perform<delivery_event>(send_usage_effect{.op = 1, .report = report, .validUntil = now + duration(1s)}).outcome, delivery::Accepted);
    const auto taken = getJson(service.server(), "/usage/reports")["reports"][0];
    EXPECT_EQ(taken["window"], 7);
    EXPECT_EQ(taken["figures"]["org"],
              (nlohmann::json{{"requests", 1}, {"prompt_tokens", 2}, {"cached_tokens", 3}, {"output_tokens", 4}, {"service_calls", 5}}));
}

// Guards against an instance list that is read as empty or without addresses.
TEST_F(standin_effects, the_platform_lists_instances)
{
    postJson(service.server(),
             "/instances",
             {{"id", "i1"}, {"address", "127.0.0.1:1"}, {"caller_address", "127.0.0.1:2"}, {"failure_domain", "a"}, {"leaving", true}});
    const auto listed = perform<instances_event>(list_instances_effect{.op = 1});
    ASSERT_TRUE(listed.result.ok());
    ASSERT_EQ(listed.result->size(), 1U);
    const auto &instance = listed.result->front();
    EXPECT_EQ(instance.id + instance.address + instance.callerAddress + instance.failureDomain, "i1127.0.0.1:1127.0.0.1:2a");
    EXPECT_TRUE(instance.leaving);
}

// Guards against granted endpoints that nobody uses, released ones that stay, and an empty list that takes the fleet away.
TEST(fleet_watch_test, follows_the_platforms_list)
{
    fleet_watch watch({}, [] {
    });
    configuration config;
    config.groups["g"];
    config.endpoints["e1"] = {.group = "g", .address = "127.0.0.1:1"};
    config.endpoints["own"] = {.group = "g", .address = "127.0.0.1:2"};
    watch.take({{.id = "e1", .settings = {.group = "g"}}, {.id = "new", .settings = {.group = "g"}}, {.id = "other", .settings = {.group = "h"}}});
    EXPECT_EQ(watch.merge(config).size(), 3U);
    EXPECT_TRUE(watch.merge(config).contains("new"));
    watch.take({});
    EXPECT_EQ(watch.merge(config).size(), 3U);
    watch.take({{.id = "new", .settings = {.group = "g"}, .leaving = true}});
    EXPECT_EQ(watch.merge(config).size(), 2U);
    EXPECT_FALSE(watch.merge(config).contains("e1"));
    EXPECT_EQ(watch.leaving(), std::vector<std::string>{"new"});
}

/// Fleet control with both keepers on one table, and a platform that always grants.
struct fleet_control_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    order_keeper orders{"main"};
    provision_keeper provisions{"main"};
    std::vector<decision_record> records;
    fleet_control control{orders, provisions, [this](const decision_record &record) {
                              records.push_back(record);
                          }};
    configuration config;
    fleet_facts facts{.config = config, .holdsOrders = true, .holdsProvision = true};

    void SetUp() override
    {
        config.version = 1;
        config.failureDomains = {"a", "b"};
        config.groups["g"] = {.kind = route_kind::Model, .minEndpoints = 2, .maxEndpoints = 4};
        for (const auto *id : {"e1", "e2", "e3"}) {
            facts.endpoints[id] = {.group = "g", .failureDomain = "a"};
            facts.reports.push_back({.endpoint = id});
        }
        const lease_grant grant{.epoch = 1, .validUntil = harness.now + 10h, .acquiredAt = harness.now};
        orders.setGrant(grant);
        provisions.setGrant(grant);
    }

    void runFor(duration length)
    {
        for (const instant end = harness.now + length; harness.now < end; harness.now += 500ms) {
            for (auto &report : facts.reports) {
                report.ageMs = 0;
                orders.noteReport(report, harness.now, true);
                orders.noteDrainConfirmed(harness.now);
            }
            control.tick(facts, harness.now);
            harness.run(orders);
            harness.run(provisions);
        }
    }
};

// Guards against a holder that never acts on a changed mix, and against decisions that cannot be replayed from the log.
TEST_F(fleet_control_test, orders_a_role_for_the_demand)
{
    facts.demand["g"] = {.shortTerm = {30000, 100}, .longTerm = {30000, 100}};
    facts.reports[0].role = endpoint_role::Decode;
    facts.reports[1].role = endpoint_role::Decode;
    facts.reports[2].role = endpoint_role::Prefill;
    runFor(tunables::roleChangeSpacing + 60s); // A new holder does not know of earlier changes and waits for the spacing first.
    ASSERT_FALSE(harness.orders.empty());
    EXPECT_NE(harness.orders.front().role, endpoint_role::Decode);
    EXPECT_TRUE(std::ranges::any_of(records, [](const auto &record) {
        return record.kind == "role";
    }));
}

// Guards against decisions by a daemon that does not hold the duty.
TEST_F(fleet_control_test, decides_nothing_without_the_leases)
{
    facts.holdsOrders = false;
    facts.holdsProvision = false;
    facts.demand["g"] = {.shortTerm = {90000, 100}, .longTerm = {90000, 100}};
    runFor(60s);
    EXPECT_TRUE(records.empty());
    EXPECT_TRUE(harness.orders.empty() && harness.provisions.empty());
}

// Guards against a lack of endpoints that is not ordered, and against the same lack ordered again while the grant is on its way.
TEST_F(fleet_control_test, orders_what_is_lacking_once)
{
    facts.endpoints.erase("e2");
    facts.endpoints.erase("e3");
    runFor(60s);
    ASSERT_EQ(harness.provisions.size(), 1U);
    EXPECT_EQ(harness.provisions.front().count, 1);
    EXPECT_EQ(harness.provisions.front().group, "g");
}

// Guards against giving back an endpoint that still gets or runs requests.
TEST_F(fleet_control_test, an_idle_endpoint_gets_no_new_work_before_it_is_given_back)
{
    runFor(100s);
    EXPECT_TRUE(control.retiring().empty());
    for (int i = 0; i < 100 && control.retiring().empty(); ++i) {
        runFor(1s);
    }
    ASSERT_EQ(control.retiring().size(), 1U);
    const std::string id = control.retiring().front();
    EXPECT_TRUE(harness.provisions.empty());
    const auto report = std::ranges::find(facts.reports, id, &endpoint_report::endpoint);
    report->runningStreams = 1;
    runFor(30s);
    EXPECT_TRUE(harness.provisions.empty());
    report->runningStreams = 0;
    runFor(10s);
    ASSERT_EQ(harness.provisions.size(), 1U);
    EXPECT_EQ(harness.provisions.front().release, std::vector<std::string>{id});
    EXPECT_EQ(harness.provisions.front().count, -1);
}

// Guards against an order that moves an endpoint out of use for ever, and against new work while the mark holds.
TEST(endpoint_draining, a_draining_endpoint_takes_no_new_work_until_the_mark_ends)
{
    endpoint_table table;
    table.configure(std::map<std::string, endpoint>{{"e1", {.group = "g"}}});
    table.markDraining("e1", instant(10s));
    EXPECT_TRUE(table.viewGroup("g", {}, instant(9s)).front().changingRole);
    EXPECT_FALSE(table.viewGroup("g", {}, instant(11s)).front().changingRole);
}

/// Two daemons on the stand-in of the platform with two engines, one of them reclaimable.
struct leaving_test : testing::Test
{
    fleet endpoints;
    platform service{{.instanceLag = 0ms}, endpoints};

    void SetUp() override
    {
        ASSERT_TRUE(service.start());
        ASSERT_TRUE(endpoints.add({{"id", "e1"}, {"group", "g"}, {"failure_domain", "a"}, {"reclaimable", true}}).ok());
        ASSERT_TRUE(endpoints.add({{"id", "e2"}, {"group", "g"}, {"failure_domain", "b"}}).ok());
        nlohmann::json document = {{"failure_domains", {"a", "b"}}, {"groups", {{"g", {{"kind", "model"}, {"model", "m"}}}}}};
        for (const auto &item : endpoints.list()) {
            document["endpoints"][item.id]
                = {{"group", "g"}, {"address", item.address}, {"failure_domain", item.failureDomain}, {"reclaimable", item.reclaimable}};
        }
        service.table().commit({.writes = {{.key = configPatchKey(1), .value = formatConfigPatch({.patch = document, .author = "test", .nonce = "n"})},
                                           {.key = configHeadKey, .value = formatConfigHead(1, "n")}}});
    }

    daemon_settings settingsOf(const std::string &id)
    {
        return {.instanceId = id, .failureDomain = "a", .platform = {.port = service.server().port()}, .clusterSecret = "secret", .callerThreads = 2};
    }

    /// Whether a daemon shows the endpoint as leaving in its status.
    static bool knowsNotice(const node &daemon)
    {
        return daemon.isLeaving("e1");
    }
};

// Guards against new work for an endpoint more than 2 s after the notice, at any daemon.
TEST_F(leaving_test, all_daemons_know_of_a_notice_within_two_seconds)
{
    node one(settingsOf("d1"));
    node two(settingsOf("d2"));
    ASSERT_TRUE(one.start().ok());
    ASSERT_TRUE(two.start().ok());
    const auto waitUntil = [](const std::function<bool()> &condition, std::chrono::milliseconds limit) {
        const auto begin = std::chrono::steady_clock::now();
        while (!condition() && std::chrono::steady_clock::now() < begin + limit) {
            std::this_thread::sleep_for(5ms);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    };
    waitUntil(
        [&] {
            return one.knowsEndpoint("e1") && two.knowsEndpoint("e1");
        },
        20s);
    ASSERT_TRUE(one.knowsEndpoint("e1") && two.knowsEndpoint("e1"));
    EXPECT_FALSE(knowsNotice(one) || knowsNotice(two));
    service.setFault({{"name", "reclaim"}, {"value", {{"failure_domain", "a"}, {"notice_ms", 30000}}}});
    const auto time = waitUntil(
        [&] {
            return knowsNotice(one) && knowsNotice(two);
        },
        10s);
    RecordProperty("notice_ms", static_cast<int>(time.count()));
    EXPECT_LE(time, 2000ms);
}

}

}
