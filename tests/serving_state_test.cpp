#include "serving/address_selection.h"
#include "serving/endpoint_registry.h"
#include "serving/event_stream.h"
#include "serving/fleet_plan.h"
#include "serving/prefix_index.h"
#include "serving/retry_budget.h"
#include "serving/serving_config.h"
#include "serving/usage_windows.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr instant start{1h};

endpoint_entry entry(const std::string &id, std::int64_t startedMs = 1)
{
    return {.id = id, .service = "s", .address = "127.0.0.1:1", .failureDomain = "a", .slots = 4, .startedMs = startedMs};
}

}

// Guards against requests to an endpoint that has left and that an older copy of the store lists again.
TEST(endpoint_registry, an_older_copy_brings_back_no_endpoint_that_left)
{
    endpoint_registry registry;
    registry.update(entry("left"));
    registry.update(entry("lapsed"));
    registry.remove("left", start);
    registry.remove("lapsed", start);
    registry.updateFromCopy(entry("left"), start + 1s);
    registry.updateFromCopy(entry("lapsed"), start + 1s);
    registry.updateFromCopy(entry("other"), start + 1s);
    EXPECT_EQ(registry.find("left"), nullptr);
    EXPECT_NE(registry.find("other"), nullptr);
    registry.remove("left", start + 4s); // The store drops the entry of a process that is silent.
    registry.expireMissing(start + 10s, 1s);
    EXPECT_EQ(registry.find("left"), nullptr);
    EXPECT_NE(registry.find("lapsed"), nullptr);
}

// Guards against attributing the load and cache of an earlier process to a new one with the same id.
TEST(endpoint_registry, resets_state_for_a_new_process)
{
    endpoint_registry registry;
    registry.update(entry("e", 1));
    const auto before = registry.find("e");
    const load_reservation reservation(before, 100);
    registry.update(entry("e", 2));
    EXPECT_EQ(registry.find("e")->own.running, 0);
    EXPECT_NE(registry.find("e")->hash, before->hash);
    EXPECT_EQ(registry.findByHash(before->hash), nullptr);
}

// Guards against a delayed entry of an earlier process that replaces the running one.
TEST(endpoint_registry, ignores_an_entry_of_an_earlier_process)
{
    endpoint_registry registry;
    registry.update(entry("e", 2));
    auto old = entry("e", 1);
    old.draining = true;
    registry.update(old);
    EXPECT_FALSE(registry.find("e")->entry.draining);
}

// Guards against new requests to a draining endpoint whose delayed "ready" entry arrives after the draining one.
TEST(endpoint_registry, keeps_a_draining_endpoint_draining)
{
    endpoint_registry registry;
    auto drainingEntry = entry("e");
    drainingEntry.draining = true;
    registry.update(drainingEntry);
    registry.update(entry("e"));
    EXPECT_FALSE(registry.find("e")->usable(start));
}

// Guards against losing all endpoints when their entries expire during a store outage, and against keeping dead ones forever.
TEST(endpoint_registry, keeps_expired_entries_for_the_grace_period_only)
{
    endpoint_registry registry;
    registry.update(entry("back"));
    registry.update(entry("dead"));
    registry.reconcile({}, true, start);
    EXPECT_TRUE(registry.find("back")->usable(start));
    registry.update(entry("back"));
    registry.expireMissing(start + 2s, 1500ms);
    EXPECT_NE(registry.find("back"), nullptr);
    EXPECT_EQ(registry.find("dead"), nullptr);
}

// Guards against counting the load of the other daemons twice, or after they are lost, or losing it because the endpoint is listed later.
TEST(endpoint_registry, replaces_the_load_of_the_other_daemons)
{
    endpoint_registry registry;
    registry.update(entry("e"));
    const auto hash = registry.find("e")->hash;
    registry.setPeerLoad({hash, {3, 500}});
    registry.setPeerLoad({hash, {2, 100}});
    EXPECT_EQ(registry.find("e")->peers.running, 2);
    EXPECT_DOUBLE_EQ(registry.find("e")->peers.promptTokens, 100);
    registry.remove("e", start);
    registry.update(entry("e"));
    EXPECT_EQ(registry.find("e")->peers.running, 2);
    registry.clearPeerLoads();
    EXPECT_EQ(registry.find("e")->peers.running, 0);
    registry.setPeerLoad({hash, {1, 50}});
    registry.setPeerLoad({hash, {}});
    EXPECT_EQ(registry.find("e")->peers.running, 0);
    EXPECT_DOUBLE_EQ(registry.find("e")->peers.promptTokens, 0);
}

// Guards against every request trying an unreachable endpoint, and against never trying it again.
TEST(endpoint_registry, backs_off_from_an_unreachable_endpoint)
{
    endpoint_registry registry;
    registry.update(entry("e"));
    const auto endpoint = registry.find("e");
    registry.noteResult(*endpoint, attempt_result::Unreachable, start);
    EXPECT_FALSE(endpoint->usable(start + 100ms));
    EXPECT_TRUE(endpoint->usable(start + 2100ms));
}

// Guards against load that stays counted after a request ended early, or that is released twice after a move.
TEST(load_reservation, releases_its_load)
{
    endpoint_registry registry;
    registry.update(entry("e"));
    const auto endpoint = registry.find("e");
    {
        load_reservation reservation(endpoint, 100);
        EXPECT_EQ(endpoint->own.running, 1);
        reservation.prefillDone();
        EXPECT_DOUBLE_EQ(endpoint->own.promptTokens, 0);
        load_reservation moved = std::move(reservation);
    }
    EXPECT_EQ(endpoint->own.running, 0);
}

// Guards against counting a block as cached although a block before it is missing.
TEST(prefix_index, counts_leading_blocks_only)
{
    prefix_index index;
    const std::vector<prefix_block> blocks{{1, 100}, {2, 50}, {3, 10}};
    index.noteUse({1, 10}, 7);
    index.noteUse({3, 10}, 7);
    EXPECT_DOUBLE_EQ(index.cachedTokens(blocks, 7), 100);
    index.noteUse({2, 10}, 7);
    EXPECT_DOUBLE_EQ(index.cachedTokens(blocks, 7), 160);
    index.forget(1, 7);
    EXPECT_DOUBLE_EQ(index.cachedTokens(blocks, 7), 0);
}

// Guards against counting blocks as cached after the engine must have evicted them for others.
TEST(prefix_index, expires_blocks_when_memory_is_full)
{
    prefix_index index;
    index.setEngineCapacity(1000);
    const std::vector<prefix_block> blocks{{1, 100}};
    index.noteUse(blocks[0], 7);
    index.noteUnsharedSuffix(7, 500);
    EXPECT_DOUBLE_EQ(index.cachedTokens(blocks, 7), 100);
    index.noteUse(blocks[0], 7);
    index.noteUnsharedSuffix(7, 650);
    EXPECT_DOUBLE_EQ(index.cachedTokens(blocks, 7), 100);
    index.noteUnsharedSuffix(7, 100);
    EXPECT_DOUBLE_EQ(index.cachedTokens(blocks, 7), 0);
    EXPECT_TRUE(index.holders(1).empty());
}

// Guards against an index that grows with every new prompt.
TEST(prefix_index, evicts_the_least_recently_used_blocks)
{
    prefix_index index(2);
    index.noteUse({1, 10}, 7);
    index.noteUse({2, 10}, 7);
    index.noteUse({1, 10}, 7);
    index.noteUse({3, 10}, 7);
    EXPECT_TRUE(index.holders(2).empty());
    EXPECT_EQ(index.holders(1).size(), 1U);
}

// Guards against retries that, summed over all daemons, exceed the limit of the deployment in any window.
TEST(retry_budget, stays_within_the_limit_over_all_daemons)
{
    constexpr std::size_t daemons = 9;
    const retry_limits limits{.ratio = 0.2, .slack = 58, .window = 10s};
    std::vector<retry_budget> budgets(daemons, retry_budget(limits));
    std::vector<instant> extraAttempts;
    std::vector<instant> requests;
    for (int step = 0; step < 3000; ++step) {
        const instant now = start + step * 10ms;
        auto &budget = budgets[static_cast<std::size_t>(step) % daemons];
        if (step % 3 == 0) {
            budget.noteRequest("s", now);
            requests.push_back(now);
        }
        if (budget.tryAcquire("s", daemons, now)) {
            extraAttempts.push_back(now);
        }
    }
    ASSERT_FALSE(extraAttempts.empty());
    for (const auto &from : extraAttempts) {
        const auto within = [&](const std::vector<instant> &times) {
            return std::ranges::count_if(times, [&](instant at) {
                return at >= from && at < from + limits.window;
            });
        };
        EXPECT_LE(static_cast<double>(within(extraAttempts)), limits.ratio * static_cast<double>(within(requests)) + limits.slack);
    }
}

// Guards against no retries at all at a low request rate, and against one service using up another's budget.
TEST(retry_budget, allows_some_retries_of_each_service)
{
    retry_budget budget({.ratio = 0.2, .slack = 58, .window = 10s});
    EXPECT_TRUE(budget.tryAcquire("a", 9, start));
    while (budget.tryAcquire("a", 9, start)) {
    }
    EXPECT_TRUE(budget.tryAcquire("b", 9, start));
    EXPECT_TRUE(budget.tryAcquire("a", 9, start + 11s));
}

// Guards against counting requests in the wrong window, and against storing counts twice or not at all.
TEST(usage_windows, counts_by_window_and_tracks_stored_counts)
{
    usage_windows usage(5000);
    usage.countRequest("org", 4999);
    usage.countRequest("org", 5000);
    usage.countRequest("org", 5001);
    auto unstored = usage.unstored(5002);
    ASSERT_EQ(unstored.size(), 2U);
    EXPECT_EQ(unstored[0].window, 0);
    EXPECT_EQ(unstored[1].usage.counts.at("org"), 2U);
    usage.markStored(unstored[1]);
    usage.countRequest("org", 5002);
    unstored = usage.unstored(5003);
    ASSERT_EQ(unstored.size(), 2U);
    EXPECT_EQ(unstored[1].usage.counts.at("org"), 3U);
}

// Guards against a usage report that waits for a daemon without requests, and against marking counts as final too early.
TEST(usage_windows, marks_the_counts_of_an_ended_window_as_final)
{
    usage_windows usage(5000);
    EXPECT_TRUE(usage.unstored(4000).empty());
    EXPECT_TRUE(usage.unstored(5100).empty());
    const auto ended = usage.unstored(5400);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_TRUE(ended[0].usage.final);
    usage.markStored(ended[0]);
    EXPECT_TRUE(usage.unstored(5500).empty());
    const auto stored = parseUsage(encodeUsage({{{"org", 4}}, true}));
    ASSERT_TRUE(stored);
    EXPECT_TRUE(stored->final);
    EXPECT_EQ(stored->counts.at("org"), 4U);
    EXPECT_FALSE(parseUsage(R"({"counts":{"org":-1},"final":true})"));
    EXPECT_FALSE(parseUsage("garbage"));
}

// Guards against malformed rows that change the sum.
TEST(usage_windows, adds_valid_counts_only)
{
    usage_counts sum;
    EXPECT_TRUE(addCounts(sum, R"({"a":2})"));
    EXPECT_FALSE(addCounts(sum, R"({"a":-2})"));
    EXPECT_FALSE(addCounts(sum, R"({"a":"2"})"));
    EXPECT_FALSE(addCounts(sum, "garbage"));
    EXPECT_TRUE(addCounts(sum, encodeCounts({{"a", 1}, {"b", 5}})));
    EXPECT_EQ(sum, (usage_counts{{"a", 3}, {"b", 5}}));
}

// Guards against usage windows that follow a clock jump on a minority of the daemons.
TEST(clock_correction, follows_the_majority)
{
    EXPECT_EQ(clockCorrection({}), 0);
    EXPECT_EQ(clockCorrection({3, -2, 4000, 1}), 1);
    EXPECT_EQ(clockCorrection({-4000, -4001, -3999, -4000}), -4000);
}

// Guards against forwarding incomplete events to the caller.
TEST(event_splitter, returns_complete_events_only)
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    const auto first = splitter.next();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->id, 1U);
    EXPECT_EQ(first->bytes, "id: 1\ndata: a\n\n");
    EXPECT_FALSE(splitter.next());
    EXPECT_EQ(splitter.partialBytes(), 8U);
    splitter.feed("ta: b\r\n\r\n");
    const auto second = splitter.next();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->id, 2U);
    EXPECT_EQ(splitter.partialBytes(), 0U);
}

// Guards against events without an id that are dropped or given an id.
TEST(event_splitter, passes_events_without_an_id)
{
    event_splitter splitter;
    splitter.feed(": comment\n\nversion: 3\ndata: x\n\n");
    EXPECT_FALSE(splitter.next()->id);
    EXPECT_FALSE(splitter.next()->id);
    EXPECT_FALSE(splitter.next());
}

// Guards against matching a route with a shorter path prefix or of another host.
TEST(find_route, takes_the_longest_prefix_of_the_host)
{
    serving_configuration configuration;
    configuration.routes = {{.name = "short", .host = "h", .pathPrefix = "/a/"},
                            {.name = "long", .host = "h", .pathPrefix = "/a/b/"},
                            {.name = "other", .host = "i", .pathPrefix = "/"}};
    indexRoutes(configuration);
    EXPECT_EQ(findRoute(configuration, "H:80", "/a/b/c")->name, "long");
    EXPECT_EQ(findRoute(configuration, "h", "/a/x")->name, "short");
    EXPECT_EQ(findRoute(configuration, "h", "/x"), nullptr);
    EXPECT_EQ(findRoute(configuration, "none", "/a/"), nullptr);
}

// Guards against traffic to a service with weight 0, and against ignored weights.
TEST(pick_service, follows_the_weights)
{
    const serving_route route{.services = {{"a", 90}, {"b", 10}, {"c", 0}}};
    EXPECT_EQ(pickService(route, 0.0), "a");
    EXPECT_EQ(pickService(route, 0.89), "a");
    EXPECT_EQ(pickService(route, 0.91), "b");
    EXPECT_EQ(pickService(route, 0.999), "b");
}

// Guards against sending callers to daemons that are draining or in another failure domain.
TEST(choose_addresses, returns_serving_daemons_near_the_caller)
{
    const std::vector<daemon_candidate> daemons{
        {.id = "1", .callerAddress = "a1", .failureDomain = "a", .serving = true},
        {.id = "2", .callerAddress = "a2", .failureDomain = "a", .serving = true},
        {.id = "3", .callerAddress = "a3", .failureDomain = "a", .serving = false},
        {.id = "5", .callerAddress = "b5", .failureDomain = "b", .serving = true},
    };
    EXPECT_EQ(chooseAddresses(daemons, "a", 64), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_EQ(chooseAddresses(daemons, "b", 64).size(), 3U);
    EXPECT_EQ(chooseAddresses(daemons, "b", 2).size(), 2U);
    EXPECT_TRUE(chooseAddresses({}, "a", 64).empty());
}

// Guards against fewer or more engines than configured, and against a domain with reclaimable engines only.
TEST(plan_fleet, stays_within_the_limits_with_some_ordinary_engines)
{
    fleet_input input{.peakDemandEngines = 100, .meanDemandEngines = 6, .minPerDomain = 1, .maxPerDomain = 6, .hasReclaimable = true};
    input.domains = {{.name = "a", .price = 1}, {.name = "b", .price = 2}, {.name = "c", .price = 1}};
    for (const auto &target : planFleet(input)) {
        EXPECT_EQ(target.ordinary + target.reclaimable, 6);
        EXPECT_GE(target.ordinary, 1);
    }
    input.peakDemandEngines = 0;
    input.meanDemandEngines = 0;
    for (const auto &target : planFleet(input)) {
        EXPECT_EQ(target.ordinary + target.reclaimable, 1);
    }
}

// Guards against not replacing reclaimed capacity while no reclaimable engines are available.
TEST(plan_fleet, replaces_reclaimed_engines)
{
    fleet_input input{.peakDemandEngines = 12, .meanDemandEngines = 8, .minPerDomain = 1, .maxPerDomain = 6, .hasReclaimable = true};
    input.domains = {{.name = "a", .reclaimableAvailable = false}, {.name = "b"}, {.name = "c"}};
    const auto targets = planFleet(input);
    EXPECT_EQ(targets[0].ordinary, 3); // Half of the six: ordinary engines cost several times as much, for an outage of seconds.
    EXPECT_EQ(targets[0].reclaimable, 0);
    EXPECT_GT(targets[1].reclaimable, 0);
}

// Guards against releasing running reclaimable engines because no more are available.
TEST(plan_fleet, keeps_running_reclaimable_engines)
{
    fleet_input input{.peakDemandEngines = 30, .meanDemandEngines = 8, .minPerDomain = 1, .maxPerDomain = 10, .hasReclaimable = true};
    input.domains = {{.name = "a", .ordinary = 2, .reclaimable = 6, .reclaimableAvailable = false}, {.name = "b"}};
    const auto targets = planFleet(input);
    EXPECT_EQ(targets[0].reclaimable, std::min(6, 10 - targets[0].ordinary));
    EXPECT_GT(targets[0].reclaimable, 0);
}

// Guards against role changes that follow every burst, since each takes an engine out of service for seconds.
TEST(plan_role, changes_only_for_a_lasting_imbalance)
{
    role_plan_input input{.prefillDemand = 4, .decodeDemand = 4, .sinceLastChangeMs = 60000};
    for (int i = 0; i < 8; ++i) {
        input.engines.push_back({.id = std::to_string(i), .domain = "a", .role = i < 2 ? endpoint_role::Prefill : endpoint_role::Decode, .running = i});
    }
    const auto change = planRole(input);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->role, endpoint_role::Prefill);
    EXPECT_EQ(change->id, "2");
    input.sinceLastChangeMs = 1000;
    EXPECT_FALSE(planRole(input));
    input.sinceLastChangeMs = 60000;
    input.prefillDemand = 2;
    input.decodeDemand = 6;
    EXPECT_FALSE(planRole(input));
}

}
