#include "control_harness.h"
#include "coordination/config_rows.h"
#include "coordination/effect_runner.h"
#include "coordination/fleet_controller.h"
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

/// Runs effects against the stand-ins of the platform and of its engines, over loopback.
struct effect_runner_standin_test : testing::Test
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
                              .endpointAddress =
                                  [this](const std::string &) {
                                      return std::optional(endpoints.list().front().address);
                                  }},
                             1);
        return std::get<Answer>(runner.perform(effect));
    }
};

// Guards against an order in a form that the engine cannot parse, and against a fenced order that is reported as accepted.
TEST_F(effect_runner_standin_test, an_engine_accepts_an_order_and_fences_an_older_epoch)
{
    const auto send = [&](std::uint64_t epoch, std::uint64_t revision) {
        const endpoint_order order{.endpoint = "e0", .revision = revision, .epoch = epoch, .kind = order_kind::SetRole, .role = endpoint_role::Decode};
        return perform<delivery_event>(send_order_effect{.op = 1, .order = order, .validUntil = now + duration(1s)}).outcome;
    };
    EXPECT_EQ(send(3, 1), delivery_outcome::Accepted);
    EXPECT_EQ(send(2, 2), delivery_outcome::Fenced);
    const auto audit = endpoints.audit();
    EXPECT_EQ(audit["e0"]["orders"][0]["content"]["role"], "decode");
}

// Guards against a provision order whose failure domain or reclaimable flag does not reach the platform, and against a grant response
// that is not parsed.
TEST_F(effect_runner_standin_test, the_platform_grants_endpoints)
{
    const provision_order order{.token = "t1", .epoch = 1, .group = "g", .failureDomain = "a", .reclaimable = true, .count = 2};
    const auto answer = perform<delivery_event>(send_provision_effect{.op = 1, .order = order, .validUntil = now + duration(1s)});
    EXPECT_EQ(answer.outcome, delivery_outcome::Accepted);
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

// Guards against usage figures that arrive under wrong names or with wrong values.
TEST_F(effect_runner_standin_test, the_platform_accepts_a_usage_report)
{
    const usage_figures figures{.requests = 1, .promptTokens = 2, .cachedTokens = 3, .outputTokens = 4, .serviceCalls = 5};
    const usage_report report{.cell = "main", .window = 7, .epoch = 1, .figures = {{"org", figures}}};
    EXPECT_EQ(perform<delivery_event>(send_usage_effect{.op = 1, .report = report, .validUntil = now + duration(1s)}).outcome, delivery_outcome::Accepted);
    const auto stored = getJson(service.server(), "/usage/reports")["reports"][0];
    EXPECT_EQ(stored["window"], 7);
    EXPECT_EQ(stored["figures"]["org"],
              (nlohmann::json{{"requests", 1}, {"prompt_tokens", 2}, {"cached_tokens", 3}, {"output_tokens", 4}, {"service_calls", 5}}));
}

// Guards against an instance list that is parsed as empty or without addresses.
TEST_F(effect_runner_standin_test, the_platform_lists_instances)
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

// Guards against granted endpoints that stay unused, released endpoints that stay in use, and an empty list that removes all endpoints.
TEST(fleet_watch_test, follows_the_platforms_list)
{
    fleet_watch watch({}, [] {
    });
    configuration config;
    config.groups["g"];
    config.endpoints["e1"] = {.group = "g", .address = "127.0.0.1:1"};
    config.endpoints["own"] = {.group = "g", .address = "127.0.0.1:2"};
    watch.setList({{.id = "e1", .settings = {.group = "g"}}, {.id = "new", .settings = {.group = "g"}}, {.id = "other", .settings = {.group = "h"}}});
    EXPECT_EQ(watch.effectiveEndpoints(config).size(), 3U);
    EXPECT_TRUE(watch.effectiveEndpoints(config).contains("new"));
    watch.setList({});
    EXPECT_EQ(watch.effectiveEndpoints(config).size(), 3U);
    watch.setList({{.id = "new", .settings = {.group = "g"}, .leaving = true}});
    EXPECT_EQ(watch.effectiveEndpoints(config).size(), 2U);
    EXPECT_FALSE(watch.effectiveEndpoints(config).contains("e1"));
    EXPECT_EQ(watch.leaving(), std::vector<std::string>{"new"});
}

/// The fleet controller with both keepers on one table, and a platform that always grants endpoints.
struct fleet_control_test : testing::Test
{
    std::shared_ptr<memory_table> table = std::make_shared<memory_table>();
    control_harness harness{table};
    order_keeper orders{"main"};
    provision_keeper provisions{"main"};
    std::vector<decision_record> records;
    fleet_controller control{orders, provisions, [this](const decision_record &record) {
                                 records.push_back(record);
                             }};
    configuration config;
    fleet_snapshot snapshot{.config = config, .holdsOrders = true, .holdsProvision = true};

    void SetUp() override
    {
        config.version = 1;
        config.failureDomains = {"a", "b"};
        config.groups["g"] = {.kind = route_kind::Model, .minEndpoints = 2, .maxEndpoints = 4};
        for (const auto *id : {"e1", "e2", "e3"}) {
            snapshot.endpoints[id] = {.group = "g", .failureDomain = "a"};
            snapshot.reports.push_back({.endpoint = id});
        }
        const lease_grant grant{.epoch = 1, .validUntil = harness.now + 10h, .acquiredAt = harness.now};
        orders.setGrant(grant);
        provisions.setGrant(grant);
    }

    void runFor(duration length)
    {
        for (const instant end = harness.now + length; harness.now < end; harness.now += 500ms) {
            for (auto &report : snapshot.reports) {
                report.ageMs = 0;
                orders.noteReport(report, harness.now, true);
                orders.noteDrainConfirmed(harness.now);
            }
            control.tick(snapshot, harness.now);
            harness.run(orders);
            harness.run(provisions);
        }
    }
};

// Guards against a lease holder that never changes roles when the mix of prompt and output tokens changes, and against decisions
// that are missing from the decision log.
TEST_F(fleet_control_test, orders_a_role_for_the_demand)
{
    snapshot.demand["g"] = {.shortTerm = {30000, 100}, .longTerm = {30000, 100}};
    snapshot.reports[0].role = endpoint_role::Decode;
    snapshot.reports[1].role = endpoint_role::Decode;
    snapshot.reports[2].role = endpoint_role::Prefill;
    runFor(tunables::minRoleChangeInterval + 60s); // A new holder has no record of earlier role changes, so it first waits for the minimum interval.
    ASSERT_FALSE(harness.orders.empty());
    EXPECT_NE(harness.orders.front().role, endpoint_role::Decode);
    EXPECT_TRUE(std::ranges::any_of(records, [](const auto &record) {
        return record.kind == "role";
    }));
}

// Guards against decisions by a daemon that does not hold the leases.
TEST_F(fleet_control_test, decides_nothing_without_the_leases)
{
    snapshot.holdsOrders = false;
    snapshot.holdsProvision = false;
    snapshot.demand["g"] = {.shortTerm = {90000, 100}, .longTerm = {90000, 100}};
    runFor(60s);
    EXPECT_TRUE(records.empty());
    EXPECT_TRUE(harness.orders.empty() && harness.provisions.empty());
}

// Guards against missing endpoints that are not ordered, and against a second order for them while the grant is pending.
TEST_F(fleet_control_test, orders_missing_endpoints_once)
{
    snapshot.endpoints.erase("e2");
    snapshot.endpoints.erase("e3");
    runFor(60s);
    ASSERT_EQ(harness.provisions.size(), 1U);
    EXPECT_EQ(harness.provisions.front().count, 1);
    EXPECT_EQ(harness.provisions.front().group, "g");
}

// Guards against the release of an endpoint that still receives or runs requests.
TEST_F(fleet_control_test, an_idle_endpoint_gets_no_new_work_before_it_is_released)
{
    runFor(100s);
    EXPECT_TRUE(control.retiring().empty());
    for (int i = 0; i < 100 && control.retiring().empty(); ++i) {
        runFor(1s);
    }
    ASSERT_EQ(control.retiring().size(), 1U);
    const std::string id = control.retiring().front();
    EXPECT_TRUE(harness.provisions.empty());
    const auto report = std::ranges::find(snapshot.reports, id, &endpoint_report::endpoint);
    report->runningStreams = 1;
    runFor(30s);
    EXPECT_TRUE(harness.provisions.empty());
    report->runningStreams = 0;
    runFor(10s);
    ASSERT_EQ(harness.provisions.size(), 1U);
    EXPECT_EQ(harness.provisions.front().release, std::vector<std::string>{id});
    EXPECT_EQ(harness.provisions.front().count, -1);
}

// Guards against a draining mark that takes an endpoint out of use for ever, and against new work while the mark is valid.
TEST(endpoint_draining, a_draining_endpoint_takes_no_new_work_until_the_mark_ends)
{
    endpoint_table table;
    table.configure(std::map<std::string, endpoint>{{"e1", {.group = "g"}}});
    table.markDraining("e1", instant(10s));
    EXPECT_TRUE(table.viewGroup("g", {}, instant(9s)).front().changingRole);
    EXPECT_FALSE(table.viewGroup("g", {}, instant(11s)).front().changingRole);
}

/// Two daemons with the stand-in of the platform and two engines, of which one is reclaimable.
struct reclaim_notice_test : testing::Test
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

    daemon_settings makeSettings(const std::string &id)
    {
        return {.instanceId = id, .failureDomain = "a", .platform = {.port = service.server().port()}, .clusterSecret = "secret", .callerThreads = 2};
    }

    /// Returns whether the daemon holds a notice that endpoint e1 is leaving.
    static bool reportsLeaving(const node &daemon)
    {
        return daemon.isLeaving("e1");
    }
};

// Guards against a daemon that still sends new work to an endpoint more than 2 s after the notice of its reclaim.
TEST_F(reclaim_notice_test, all_daemons_receive_a_notice_within_two_seconds)
{
    node first(makeSettings("d1"));
    node second(makeSettings("d2"));
    ASSERT_TRUE(first.start().ok());
    ASSERT_TRUE(second.start().ok());
    const auto measureWait = [](const std::function<bool()> &condition, std::chrono::milliseconds limit) {
        const auto begin = std::chrono::steady_clock::now();
        while (!condition() && std::chrono::steady_clock::now() < begin + limit) {
            std::this_thread::sleep_for(5ms);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    };
    measureWait(
        [&] {
            return first.hasEndpoint("e1") && second.hasEndpoint("e1");
        },
        20s);
    ASSERT_TRUE(first.hasEndpoint("e1") && second.hasEndpoint("e1"));
    EXPECT_FALSE(reportsLeaving(first) || reportsLeaving(second));
    service.setFault({{"name", "reclaim"}, {"value", {{"failure_domain", "a"}, {"notice_ms", 30000}}}});
    const auto elapsed = measureWait(
        [&] {
            return reportsLeaving(first) && reportsLeaving(second);
        },
        10s);
    RecordProperty("notice_ms", static_cast<int>(elapsed.count()));
    EXPECT_LE(elapsed, 2000ms);
}

}

}
