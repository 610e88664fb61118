#include "edge_fixture.h"
#include "protocol/relayed_feed.h"
#include "serving/feed_relay.h"
#include "serving/peer_exchange.h"
#include "serving/table_follower.h"

#include <absl/strings/escaping.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

table_changes changesTo(std::uint64_t version, const std::vector<std::string> &keys, instant requestedAt = instant(1s))
{
    table_changes out{.version = version, .requestedAt = requestedAt};
    out.rows.reserve(keys.size());
    for (const auto &key : keys) {
        out.rows.push_back({key, "value", false});
    }
    return out;
}

table_changes endpointsAt(std::uint64_t version, const std::vector<std::string> &ids)
{
    auto out = changesTo(version, ids, bootNow());
    for (auto &changed : out.rows) {
        changed.value = R"({"service":"models","address":"127.0.0.1:1","zone":"domain-a","slots":4,"state":"ready"})";
    }
    return out;
}

std::vector<std::string> keysOf(const table_changes &changes)
{
    std::vector<std::string> keys;
    keys.reserve(changes.rows.size());
    for (const auto &changed : changes.rows) {
        keys.push_back(changed.key);
    }
    return keys;
}

/// The fixture's daemon queries a second daemon, the relay, which serves feeds on loopback.
class feed_relay : public edge_fixture
{
protected:
    feed_relay()
        : relay(loop, named("relay"), makePort, lines)
        , feeds(loop,
                {.handle =
                     [this](received_request &request, server_reply &reply) {
                         return ++relayRequests > relayAnswers ? fallSilent() : serveFeed(relay, request, reply);
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
        tcp::acceptor probe(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const auto address = probe.local_endpoint();
        probe.close();
        feeds.listen(address);
        for (const std::string id : {"relay", "daemon-1"}) {
            context->members[id] = {.address = absl::StrCat("127.0.0.1:", address.port()), .failureDomain = "domain-a"};
            relay.members[id] = {.address = "127.0.0.1:1", .failureDomain = "domain-a"};
        }
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

    static task<void> fallSilent()
    {
        co_await sleepFor(10s);
    }

    /// So many daemons of the domain that this one follows a relay; each address leads to the one that listens.
    void addFollowers()
    {
        for (int i = 0; i < 30; ++i) {
            const std::string id = "peer-" + std::to_string(i);
            context->members[id] = context->members["relay"];
            context->peers[id] = {.serving = true};
        }
    }

    /// Bytes of a whole table of endpoints at version 5 with one row.
    static std::string tableWith(const std::string &id)
    {
        const auto held = endpointsAt(5, {id}).rows[0];
        const nlohmann::json row{{"key", held.key}, {"value", absl::Base64Escape(held.value)}, {"ver", 5}};
        return nlohmann::json{{"ver", 5}, {"rows", {row}}}.dump();
    }

    absl::StatusOr<table_changes> query(std::uint64_t version, duration wait)
    {
        absl::StatusOr<table_changes> result = absl::UnknownError("no response");
        bool done = false;
        asio::co_spawn(
            loop,
            [&]() -> task<void> {
                result = co_await queryRelay(*context, "relay", platform_table::Configuration, version, wait);
                done = true;
            },
            asio::detached);
        runUntil(
            [&] {
                return done;
            },
            3s);
        return result;
    }

    edge_context relay;
    http_server feeds;
    int relayRequests = 0; ///< Received by the relay.
    int relayAnswers = std::numeric_limits<int>::max(); ///< Requests after so many get no answer.
};

}

// Guards against a daemon that misses a change because the relay's history has a gap before it.
TEST(feed_history, returns_all_changes_or_none)
{
    feed_history history;
    EXPECT_FALSE(history.since(0));
    history.reset(changesTo(10, {"a", "b"}));
    EXPECT_FALSE(history.since(9)); // The rows of the snapshot are not kept.
    history.add(changesTo(12, {"c"}));
    history.add(changesTo(15, {"a"}));
    history.add(changesTo(15, {}, instant(4s)));
    ASSERT_TRUE(history.since(10));
    EXPECT_EQ(keysOf(*history.since(10)), (std::vector<std::string>{"c", "a"}));
    EXPECT_EQ(keysOf(*history.since(12)), std::vector<std::string>{"a"});
    EXPECT_EQ(keysOf(*history.since(11)), (std::vector<std::string>{"c", "a"}));
    EXPECT_TRUE(history.since(15)->rows.empty());
    EXPECT_EQ(history.since(15)->requestedAt, instant(4s));
    EXPECT_FALSE(history.since(16));
    history.reset(changesTo(20, {}));
    EXPECT_FALSE(history.since(15));
}

// Guards against a history that grows without limit, and one that drops its newest batches first.
TEST(feed_history, is_bounded)
{
    feed_history history;
    history.reset(changesTo(1, {}));
    for (std::uint64_t version = 2; version <= 50001; ++version) {
        history.add(changesTo(version, {"key"}));
    }
    EXPECT_FALSE(history.since(1));
    ASSERT_TRUE(history.since(49000));
    EXPECT_EQ(history.since(49000)->rows.size(), 1001U);
}

// Guards against a history that grows, or can't answer, because the version rises without changes of its table.
TEST(feed_history, merges_batches_without_rows)
{
    feed_history history;
    history.reset(changesTo(1, {}));
    for (std::uint64_t version = 2; version <= 100; ++version) {
        history.add(changesTo(version, {}));
    }
    EXPECT_EQ(history.batchCount(), 1U);
    ASSERT_TRUE(history.since(50));
    EXPECT_TRUE(history.since(50)->rows.empty());
    history.add(changesTo(101, {"a"}));
    history.add(changesTo(102, {}));
    history.add(changesTo(103, {}));
    EXPECT_EQ(history.batchCount(), 3U);
    EXPECT_EQ(keysOf(*history.since(60)), std::vector<std::string>{"a"});
    EXPECT_TRUE(history.since(102)->rows.empty());
}

// Guards against a domain that replaces both relays when one daemon is lost, and against relays in other domains.
TEST(choose_relays, selects_two_per_domain_and_is_stable)
{
    std::map<std::string, std::string> daemons;
    for (int i = 0; i < 40; ++i) {
        daemons["daemon-" + std::to_string(i)] = i % 2 == 0 ? "a" : "b";
    }
    const auto relays = chooseRelays(daemons, "a");
    ASSERT_EQ(relays.size(), 2U);
    EXPECT_EQ(daemons[relays[0]], "a");
    EXPECT_EQ(daemons[relays[1]], "a");
    daemons.erase(relays[0]);
    const auto after = chooseRelays(daemons, "a");
    ASSERT_EQ(after.size(), 2U);
    EXPECT_EQ(after[0], relays[1]);
    EXPECT_EQ(chooseRelays({{"one", "a"}, {"two", "a"}, {"three", "a"}, {"four", "b"}}, "a").size(), 3U); // All of a small domain read the store.
    EXPECT_TRUE(chooseRelays(daemons, "c").empty());
}

// Guards against fields lost in encoding, and malformed responses that crash the daemon.
TEST(relayed_feed, round_trips_and_rejects_garbage)
{
    const relayed_feed sent{.version = 7, .ageMs = 120, .storeFailureAgeMs = 30, .rows = {{"k", std::string("\0\xff", 2), false}, {"gone", "", true}}};
    const auto got = parseFeed(encodeFeed(sent));
    ASSERT_TRUE(got.ok()) << got.status();
    EXPECT_EQ(*got, sent);
    EXPECT_FALSE(parseFeed(encodeFeed({.version = 1}))->storeFailureAgeMs);
    EXPECT_FALSE(parseFeed("garbage that is no message").ok());
    EXPECT_FALSE(parseFeed("").ok());
}

// Guards against API keys that are accepted for longer than the revoke bound: relayed data must not appear more recent than it is at the relay.
TEST_F(feed_relay, relayed_data_is_never_dated_later_than_at_the_relay)
{
    const instant storeRequestedAt = bootNow() - 700ms;
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, storeRequestedAt), true);
    const auto answer = query(5, 300ms);
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_LE(answer->requestedAt, storeRequestedAt);
    EXPECT_GE(answer->requestedAt, storeRequestedAt - 400ms); // The wait at the relay and the round trip.
    EXPECT_TRUE(answer->rows.empty());
}

// Guards against a change that reaches the other daemons only when their request times out at the relay.
TEST_F(feed_relay, forwards_a_change_at_once)
{
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, bootNow()), true);
    asio::steady_timer timer(loop, 100ms);
    timer.async_wait([&](const boost::system::error_code &) {
        publishChanges(relay, platform_table::Configuration, changesTo(6, {"new"}, bootNow()), false);
    });
    const instant begin = bootNow();
    const auto answer = query(5, 2s);
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(keysOf(*answer), std::vector<std::string>{"new"});
    EXPECT_EQ(answer->version, 6U);
    EXPECT_LT(bootNow() - begin, 1s);
    EXPECT_GE(bootNow() - begin, 100ms);
}

// Guards against data of a relay that lost the store, and against a relay's own trouble that passes for trouble of the store.
TEST_F(feed_relay, failures_of_a_relay_count_for_its_data_only)
{
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, bootNow() - 1s), true);
    relay.storeFailedAt = bootNow() - 400ms;
    EXPECT_EQ(query(5, 0ms).status().code(), absl::StatusCode::kUnavailable) << "its last call failed";
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, bootNow()), false);
    EXPECT_TRUE(query(5, 0ms).ok());
    EXPECT_EQ(context->storeFailedAt, instant{});
}

// Guards against daemons that follow a relay and remove endpoints whose rows only expired during a store outage.
TEST_F(feed_relay, a_follower_keeps_endpoints_whose_rows_expired_while_the_store_failed)
{
    bool fails = false;
    storeScript = [&](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, fails ? 503 : 200, tableWith("expired"))};
    };
    addFollowers();
    publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), true);
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("expired") != nullptr;
        },
        1s));
    fails = true;
    relay.storeFailedAt = bootNow(); // The follower asks the store itself.
    ASSERT_TRUE(runUntil(
        [&] {
            return context->storeFailedAt != instant{};
        },
        2s));
    auto expired = endpointsAt(6, {"expired"});
    expired.rows.front().removed = true;
    publishChanges(relay, platform_table::Endpoints, expired, false);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->feeds[static_cast<std::size_t>(platform_table::Endpoints)].history.version() == 6;
        },
        2s));
    EXPECT_TRUE(context->endpoints.find("expired"));
}

// Guards against daemons that multiply the calls to a store in trouble: each of 75 called it every 150 ms for each table.
TEST_F(feed_relay, a_follower_calls_a_failing_store_less_and_less_often)
{
    bool fails = false;
    int failedCalls = 0;
    storeScript = [&](const http_request &request, int) {
        failedCalls += fails ? 1 : 0;
        return scripted_answer{.bytes = wholeAnswer(request, fails ? 503 : 200, tableWith("engine"))};
    };
    addFollowers();
    publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), true);
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("engine") != nullptr;
        },
        1s));
    fails = true;
    runUntil(
        [&] {
            relay.storeFailedAt = bootNow(); // The relay reports that its calls fail.
            return false;
        },
        3s);
    EXPECT_GE(failedCalls, 2) << "a daemon finds out by itself if its relays alone are cut off";
    EXPECT_LE(failedCalls, 7); // With the shortest pauses at 0, 75, 225, 525, 1125 and 2325 ms, and one call of the time before.
    relay.storeFailedAt = instant{};
    auto added = endpointsAt(6, {"added"});
    publishChanges(relay, platform_table::Endpoints, added, false);
    EXPECT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("added") != nullptr;
        },
        600ms))
        << "the first answer of the relay ends the pause";
}

// Guards against an endpoint that leaves and is used beyond the drain bound, because a failed call had made the daemon read the removal late and count the
// time that a lapsed entry is kept from then on.
TEST_F(feed_relay, an_entry_removed_in_a_short_gap_is_kept_from_the_start_of_the_gap_only)
{
    bool fails = false;
    storeScript = [&](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, fails ? 503 : 200, tableWith("leaving"))};
    };
    addFollowers();
    publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), true);
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("leaving") != nullptr;
        },
        1s));
    fails = true;
    relay.storeFailedAt = bootNow();
    ASSERT_TRUE(runUntil(
        [&] {
            return context->storeFailedAt != instant{};
        },
        2s));
    const instant failedAt = bootNow();
    ASSERT_TRUE(runUntil(
        [&] {
            return bootNow() - failedAt > 300ms;
        },
        1s));
    auto removed = endpointsAt(6, {"leaving"});
    removed.rows.front().removed = true;
    publishChanges(relay, platform_table::Endpoints, removed, false);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->feeds[static_cast<std::size_t>(platform_table::Endpoints)].history.version() == 6;
        },
        2s));
    const duration grace = 2s;
    context->endpoints.expireMissing(failedAt + grace, grace);
    EXPECT_FALSE(context->endpoints.find("leaving"));
}

// Guards against an endpoint that has left and is kept as if the store had failed, because the relay had been cut off from the store. Found on
// ribbonwire-lace scale-2.
TEST_F(feed_relay, a_relay_that_was_cut_off_keeps_no_endpoint_that_left)
{
    storeScript = [&](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, tableWith("left"))};
    };
    addFollowers();
    publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), true);
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    const auto isListed = [&] {
        return context->endpoints.find("left") != nullptr;
    };
    ASSERT_TRUE(runUntil(isListed, 1s));
    relay.storeFailedAt = bootNow() - 1ms;
    auto leaving = endpointsAt(6, {"left"});
    leaving.rows.front().removed = true;
    publishChanges(relay, platform_table::Endpoints, leaving, false);
    EXPECT_TRUE(runUntil(
        [&] {
            return !isListed();
        },
        700ms));
}

// Guards against a daemon that concludes there are no changes when the relay is behind or no longer holds the requested history.
TEST_F(feed_relay, reports_that_it_cannot_answer)
{
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, bootNow()), true);
    EXPECT_EQ(query(6, 50ms).status().code(), absl::StatusCode::kOutOfRange);
    EXPECT_EQ(query(4, 50ms).status().code(), absl::StatusCode::kUnavailable);
}

// Guards against API keys that are sent to a machine that is not a member.
TEST_F(feed_relay, serves_members_only)
{
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, bootNow()), true);
    ASSERT_TRUE(query(5, 0ms).ok());
    relay.members = {{"daemon-1", {.address = "127.0.0.9:1"}}};
    EXPECT_FALSE(query(5, 0ms).ok());
}

// Guards against a follower that stays with a relay that lost the store, and one that queries the store although a relay has recent data.
TEST_F(feed_relay, a_follower_queries_the_store_only_when_the_data_of_its_relay_is_too_old)
{
    int reads = 0;
    int waits = 0;
    storeScript = [&](const http_request &request, int) {
        const bool feed = toView(request.target()).find("rows-feed") != std::string_view::npos;
        ++(feed ? waits : reads);
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"ver":5,"rows":[]})"), .delay = feed ? 50ms : 0ms};
    };
    addFollowers();
    ASSERT_EQ(feedRole(*context).relays.size(), 2U);
    publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), true);
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    for (int i = 0; i < 10; ++i) {
        publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), false);
        runUntil(
            [] {
                return false;
            },
            200ms);
    }
    EXPECT_EQ(reads, 1);
    EXPECT_EQ(waits, 0);
    EXPECT_GE(relayRequests, 3);
    // The relay gets no further updates, so its data becomes too old.
    EXPECT_TRUE(runUntil(
        [&] {
            return waits > 0;
        },
        5s));
}

// Guards against a configuration that takes effect late because the relay has lost the store: its data is old, or even behind that of the follower,
// which was read from the store. Found on hsinchu-dress-grown scale-2.
TEST_F(feed_relay, a_follower_queries_the_store_before_the_bound_of_the_configuration)
{
    int waits = 0;
    storeScript = [&](const http_request &request, int) {
        waits += toView(request.target()).find("rows-feed") != std::string_view::npos ? 1 : 0;
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"ver":5,"rows":[]})")};
    };
    addFollowers();
    const duration bound = context->settings.configurationBound;
    ASSERT_LT(bound, context->settings.revokeBound);
    publishChanges(relay, platform_table::Configuration, changesTo(4, {}, bootNow()), true);
    const instant begin = bootNow();
    asio::co_spawn(loop, followConfiguration(*context), asio::detached);
    const auto queries = [&](int count) {
        return runUntil(
            [&] {
                return waits >= count;
            },
            5s);
    };
    ASSERT_TRUE(queries(1));
    EXPECT_LT(bootNow() - begin, bound) << "the relay is behind";
    publishChanges(relay, platform_table::Configuration, changesTo(5, {}, bootNow() - bound * 3 / 4), false);
    const instant old = bootNow();
    ASSERT_TRUE(queries(waits + 1));
    EXPECT_LT(bootNow() - old, bound / 2) << "the relay's data is old";
}

// Guards against a leaving that is learnt after the bound: a relay that is behind falls silent when the rows held are about to be too old, and the time that
// it is waited for comes on top.
TEST_F(feed_relay, a_silent_relay_does_not_make_the_rows_held_too_old)
{
    std::vector<instant> answeredAt;
    storeScript = [&](const http_request &request, int) {
        answeredAt.push_back(bootNow());
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"ver":5,"rows":[]})")};
    };
    addFollowers();
    publishChanges(relay, platform_table::Endpoints, changesTo(4, {}, bootNow()), true);
    relayAnswers = 4; // Each after a wait of 0.3 s.
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return answeredAt.size() >= 2;
        },
        5s));
    EXPECT_GE(relayRequests, 5);
    constexpr duration call = 100ms;
    EXPECT_LT(answeredAt[1] - answeredAt[0], feedBounds(settings, platform_table::Endpoints).maxRelayDataAge + call);
}

// Guards against an endpoint that has left and is in use again, because a restarted relay serves rows older than those held by its follower.
TEST_F(feed_relay, a_restarted_relay_brings_back_no_endpoint_that_left)
{
    storeScript = [&](const http_request &request, int) {
        const bool feed = toView(request.target()).find("rows-feed") != std::string_view::npos;
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"ver":7,"rows":[]})"), .delay = feed ? 50ms : 0ms};
    };
    addFollowers();
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    const auto isAsked = [&] {
        const int before = relayRequests;
        return runUntil(
            [&] {
                return relayRequests >= before + 3;
            },
            5s);
    };
    ASSERT_TRUE(isAsked()); // The relay has no rows yet.
    publishChanges(relay, platform_table::Endpoints, changesTo(5, {}, bootNow()), true);
    ASSERT_TRUE(isAsked());
    publishChanges(relay, platform_table::Endpoints, endpointsAt(6, {"left"}), false);
    ASSERT_TRUE(isAsked());
    EXPECT_FALSE(context->endpoints.find("left"));
    auto newest = endpointsAt(8, {"left", "new"});
    newest.rows.front().removed = true;
    publishChanges(relay, platform_table::Endpoints, newest, false);
    EXPECT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("new") != nullptr;
        },
        2s));
    EXPECT_FALSE(context->endpoints.find("left"));
}

// Guards against an endpoint that has left and is in use again, because the store answers with an old table after it has discarded its history.
TEST_F(feed_relay, a_table_older_than_the_rows_held_is_dropped)
{
    int tables = 0;
    storeScript = [&](const http_request &request, int) {
        if (toView(request.target()).find("rows-feed") != std::string_view::npos) {
            return scripted_answer{.bytes = wholeAnswer(request, 410, "{}")};
        }
        const auto &changes = ++tables == 2 ? endpointsAt(5, {"left"}) : endpointsAt(7, {"present"});
        const nlohmann::json row{{"key", changes.rows[0].key}, {"value", absl::Base64Escape(changes.rows[0].value)}, {"ver", changes.version}};
        const nlohmann::json body{{"ver", changes.version}, {"rows", {row}}};
        return scripted_answer{.bytes = wholeAnswer(request, 200, body.dump())};
    };
    asio::co_spawn(loop, followEndpoints(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("left") != nullptr || tables >= 4;
        },
        5s));
    EXPECT_FALSE(context->endpoints.find("left"));
    EXPECT_TRUE(context->endpoints.find("present"));
}

// Guards against followers that query the store although their relay works, because its data seems too old between two answers of the store: calls
// then grow with the daemons. Found on ribbonwire-lace-large, 18,000 calls instead of 8,000. The data must still be dropped in time for the bound.
TEST(feed_bounds, fit_a_working_relay_and_the_bound)
{
    for (const duration bound : {2000ms, 3000ms, 4000ms, 10'000ms}) {
        edge_settings settings;
        settings.configurationBound = bound;
        settings.drainBound = bound;
        for (const auto table : {platform_table::Configuration, platform_table::Endpoints}) {
            const auto bounds = feedBounds(settings, table);
            const duration effective = table == platform_table::Configuration ? std::min(bound, settings.revokeBound) : bound;
            EXPECT_LE(2 * bounds.storeWait + effective / 5, bounds.maxRelayDataAge) << toMs(bound);
            constexpr duration relayAndStoreAnswers = 350ms;
            EXPECT_LE(bounds.maxRelayDataAge + bounds.relayWait + relayAndStoreAnswers, effective) << toMs(bound);
        }
    }
}

// Guards against daemons that place long prompts on an engine to which another daemon has just sent one.
TEST_F(feed_relay, a_long_prefill_is_reported_at_once)
{
    udp::socket sending(loop, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    udp::socket listening(loop, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    updateMembers(*context,
                  {{settings.id, {.address = "127.0.0.1:1", .failureDomain = "domain-a"}},
                   {"peer", {.address = absl::StrCat("127.0.0.1:", listening.local_endpoint().port()), .failureDomain = "domain-a"}}});
    asio::co_spawn(loop, sendExchange(*context, sending), asio::detached);
    int count = 0;
    const auto received = [&] {
        std::array<char, 2000> bytes{};
        boost::system::error_code error;
        listening.non_blocking(true);
        while (listening.receive(asio::buffer(bytes), 0, error) > 0 && !error) {
            ++count;
        }
        return count;
    };
    ASSERT_TRUE(runUntil(
        [&] {
            return received() > 0;
        },
        1s));
    // A summary was just sent, so the next regular one is far enough away to tell an early one from it.
    const instant regular = context->exchange.nextDue();
    expediteSummary(*context, 100);
    EXPECT_EQ(context->exchange.nextDue(), regular); // A short prompt causes no early summary.
    expediteSummary(*context, 20000);
    EXPECT_LT(context->exchange.nextDue(), regular);
    const int before = received();
    EXPECT_TRUE(runUntil(
        [&] {
            return received() > before;
        },
        1s));
}

}
