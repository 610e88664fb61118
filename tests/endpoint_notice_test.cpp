#include "edge_fixture.h"
#include "serving/endpoint_notice.h"
#include "serving/fleet_place.h"
#include "serving/limit_share.h"

namespace lacewinglock
{

namespace
{

/// Calls to a service with two endpoints, of which the first says something of itself in its answers.
class endpoint_notice_test : public edge_fixture
{
protected:
    endpoint_notice_test()
        : first(loop,
                [this](const http_request &request, int) {
                    return scripted_answer{.bytes = wholeAnswer(request, status, "first", notice), .delay = delay};
                })
        , second(loop, [](const http_request &request, int) {
            return scripted_answer{.bytes = wholeAnswer(request, 200, "second")};
        })
    {
        auto route = makeRoute("/read/", "desk");
        route.repeatable = true;
        configure({route});
        for (const auto *id : {"daemon-1", "daemon-2", "daemon-3"}) {
            context->members[id] = {};
        }
        addEndpoint("e1", "desk", first.address());
    }

    /// Makes calls one after the other and returns how many were answered with 200.
    int callFor(std::chrono::milliseconds time)
    {
        int served = 0;
        for (const instant end = bootNow() + time; bootNow() < end;) {
            served += call(get("/read/1")).status == 200 ? 1 : 0;
        }
        return served;
    }

    std::size_t requestsToFirstDuring(std::chrono::milliseconds time)
    {
        const auto before = first.requests.size();
        callFor(time);
        return first.requests.size() - before;
    }

    int status = 200;
    std::string notice;
    std::chrono::milliseconds delay{0};
    scripted_server first;
    scripted_server second;
};

}

TEST_F(endpoint_notice_test, an_endpoint_gets_no_more_requests_than_the_share_of_its_limit)
{
    addEndpoint("e2", "desk", second.address());
    notice = "Server-Limit: 9\r\n";
    callFor(std::chrono::milliseconds(100));
    // A third of 9 a second for 2 s, and half as much again.
    EXPECT_LE(requestsToFirstDuring(std::chrono::seconds(2)), 9U);
    EXPECT_GE(second.requests.size(), 20U);
}

TEST_F(endpoint_notice_test, the_share_of_a_daemon_that_is_gone_goes_to_the_others)
{
    addEndpoint("e2", "desk", second.address());
    context->peers["daemon-2"] = {.serving = true}; // Nothing is heard of daemon-3, whose row in the store stays.
    notice = "Server-Limit: 30\r\n";
    callFor(std::chrono::milliseconds(1200));
    const auto requests = requestsToFirstDuring(std::chrono::seconds(2));
    // 15 a second for 2 s, and slots of the second before if the test was held up.
    EXPECT_GE(requests, 26U);
    EXPECT_LE(requests, 46U);
}

TEST_F(endpoint_notice_test, a_request_beyond_all_limits_is_refused_at_once)
{
    notice = "Server-Limit: 3\r\n";
    callFor(std::chrono::milliseconds(100));
    const auto before = first.requests.size();
    int refused = 0;
    for (int i = 0; i < 50; ++i) {
        const auto result = call(get("/read/1"));
        if (result.status == 503) {
            ++refused;
            EXPECT_LT(result.ms, 200);
            EXPECT_FALSE(result.head["Retry-After"].empty());
        }
    }
    EXPECT_GE(refused, 40);
    EXPECT_EQ(first.requests.size() - before + static_cast<std::size_t>(refused), 50U);
}

TEST_F(endpoint_notice_test, an_endpoint_that_names_no_limit_any_more_is_used_again)
{
    notice = "Server-Limit: 9\r\n";
    callFor(std::chrono::milliseconds(200));
    notice.clear();
    callFor(std::chrono::milliseconds(700));
    EXPECT_GE(requestsToFirstDuring(std::chrono::milliseconds(300)), 10U);
}

TEST_F(endpoint_notice_test, an_endpoint_that_says_it_leaves_gets_no_new_requests)
{
    addEndpoint("e2", "desk", second.address());
    context->endpoints.find("e2")->peers.running = 3;
    notice = "Server-Leaving: 1\r\n";
    EXPECT_EQ(call(get("/read/1")).body, "first");
    // The store lists it as ready for a while, or loses its entry and gets it back.
    addEndpoint("e1", "desk", first.address());
    EXPECT_EQ(call(get("/read/1")).body, "second");
    context->endpoints.remove("e1", bootNow());
    addEndpoint("e1", "desk", first.address());
    EXPECT_EQ(call(get("/read/1")).body, "second");
    EXPECT_EQ(first.requests.size(), 1U);
}

TEST_F(endpoint_notice_test, an_endpoint_that_asked_for_a_pause_gets_no_requests_until_its_end)
{
    addEndpoint("e2", "desk", second.address());
    context->endpoints.find("e2")->peers.running = 3;
    status = 503;
    notice = "X-Not-Executed: 1\r\nRetry-After: 1.5\r\n";
    EXPECT_EQ(call(get("/read/1")).body, "second");
    status = 200;
    notice.clear();
    EXPECT_EQ(requestsToFirstDuring(std::chrono::milliseconds(700)), 0U);
    EXPECT_TRUE(runUntil(
        [this] {
            return call(get("/read/1")).body == "first";
        },
        std::chrono::seconds(2)));
}

TEST_F(endpoint_notice_test, the_wait_for_a_turn_does_not_count_as_time_of_the_attempt)
{
    status = 503;
    notice = "X-Not-Executed: 1\r\nRetry-After: 0.2\r\n";
    call(get("/read/1"));
    status = 200;
    notice.clear();
    delay = std::chrono::milliseconds(250); // With the wait, beyond the time after which a call is repeated elsewhere.
    addEndpoint("e2", "desk", second.address());
    context->endpoints.find("e2")->pausedUntil = bootNow() + std::chrono::seconds(5);
    EXPECT_EQ(call(get("/read/1")).body, "first");
    EXPECT_EQ(first.requests.size(), 2U);
}

namespace
{

/// A call that the first endpoint has answered with an error, and that waits for the end of a pause of the second one.
class waiting_repeat_test : public endpoint_notice_test
{
protected:
    void SetUp() override
    {
        auto route = makeRoute("/read/", "desk");
        route.repeatable = true;
        route.target = std::chrono::seconds(1);
        route.timeout = std::chrono::seconds(3);
        configure({route});
        status = 500;
        addEndpoint("e2", "desk", second.address());
        next = context->endpoints.find("e2");
        next->peers.running = 3;
        next->pausedUntil = bootNow() + std::chrono::milliseconds(600);
        startCall(get("/read/1"), result, done);
        ASSERT_TRUE(runUntil(
            [this] {
                return !first.requests.empty();
            },
            std::chrono::seconds(1)));
        runUntil(
            [] {
                return false;
            },
            std::chrono::milliseconds(40));
    }

    void awaitAnswer()
    {
        ASSERT_TRUE(runUntil(
            [this] {
                return done;
            },
            std::chrono::seconds(2)));
    }

    endpoint_ptr next;
    caller_result result;
    bool done = false;
};

}

TEST_F(waiting_repeat_test, the_answer_of_the_first_endpoint_stays_when_the_next_one_cannot_be_used_after_the_wait)
{
    next->pausedUntil = bootNow() + std::chrono::seconds(5);
    awaitAnswer();
    EXPECT_EQ(result.status, 500);
    EXPECT_EQ(result.body, "first");
    EXPECT_TRUE(second.requests.empty());
}

TEST_F(waiting_repeat_test, takes_one_retry_from_the_budget_although_it_is_placed_again)
{
    while (context->retryBudget.tryAcquire("desk", context->daemons(), bootNow())) {
    }
    applyReport(context->endpoints, {.endpoint = next->hash, .limit = 30}, bootNow());
    awaitAnswer();
    EXPECT_EQ(result.body, "second");
}

namespace
{

/// A call that waits for a slot of the only endpoint.
class waiting_call_test : public endpoint_notice_test
{
protected:
    waiting_call_test()
    {
        auto route = makeRoute("/read/", "desk");
        route.repeatable = true;
        route.target = std::chrono::seconds(10); // Beyond the next slot, which is 4.5 s away at most.
        route.timeout = std::chrono::seconds(12);
        configure({route});
        endpoint = context->endpoints.find("e1");
        report({.endpoint = endpoint->hash, .limit = 1});
        // Half a round of three daemons at the least until the next slot.
        endpoint->turnTakenAt = bootNow();
        startCall(get("/read/1"), result, done);
        runFor(std::chrono::milliseconds(300));
    }

    void report(const notice_report &given)
    {
        applyReport(context->endpoints, given, bootNow());
    }

    void runFor(std::chrono::milliseconds time)
    {
        runUntil(
            [] {
                return false;
            },
            time);
    }

    endpoint_ptr endpoint;
    caller_result result;
    bool done = false;
};

}

TEST_F(waiting_call_test, is_sent_soon_when_the_limit_grows)
{
    ASSERT_FALSE(done);
    ASSERT_TRUE(first.requests.empty());
    report({.endpoint = endpoint->hash, .limit = 30});
    runFor(std::chrono::milliseconds(500));
    EXPECT_TRUE(done);
    EXPECT_EQ(result.body, "first");
}

TEST_F(waiting_call_test, goes_to_another_endpoint_when_its_own_says_it_leaves)
{
    ASSERT_FALSE(done);
    addEndpoint("e2", "desk", second.address());
    report({.endpoint = endpoint->hash, .leaving = true});
    runFor(std::chrono::milliseconds(500));
    EXPECT_TRUE(done);
    EXPECT_EQ(result.body, "second");
}

TEST_F(endpoint_notice_test, a_request_is_refused_at_once_while_all_endpoints_pause)
{
    status = 503;
    notice = "X-Not-Executed: 1\r\nRetry-After: 2\r\n";
    call(get("/read/1"));
    const auto result = call(get("/read/1"));
    EXPECT_EQ(result.status, 503);
    EXPECT_LT(result.ms, 200);
    EXPECT_GE(std::stod(std::string(toView(result.head["Retry-After"]))), 1.8);
    EXPECT_EQ(first.requests.size(), 1U);
}

namespace
{

/// An endpoint and its registry, for statements at chosen times.
class notice_order : public testing::Test
{
protected:
    notice_order()
    {
        endpoints.update({.id = "e1", .service = "s", .startedMs = 5});
    }

    endpoint_state &endpoint()
    {
        return *endpoints.find("e1");
    }

    static instant at(int ms)
    {
        return instant(std::chrono::seconds(100) + std::chrono::milliseconds(ms));
    }

    endpoint_registry endpoints;
};

}

// Guards against an answer that was overtaken and says what no longer holds.
TEST_F(notice_order, an_older_answer_does_not_end_a_limit)
{
    EXPECT_TRUE(applyNotice(endpoints, endpoint(), {.limit = 2}, at(0), at(10)));
    EXPECT_FALSE(applyNotice(endpoints, endpoint(), {}, at(5), at(20)));
    EXPECT_EQ(endpoint().limit, 2);
    EXPECT_FALSE(applyNotice(endpoints, endpoint(), {.limit = 4}, at(5), at(20)));
    EXPECT_EQ(endpoint().limit, 2);
    EXPECT_TRUE(applyNotice(endpoints, endpoint(), {.limit = 4}, at(21), at(30)));
    EXPECT_EQ(endpoint().limit, 4);
    EXPECT_TRUE(applyNotice(endpoints, endpoint(), {}, at(31), at(40)));
    EXPECT_FALSE(endpoint().limit);
}

// Guards against a limit that stays low because there is always a request under way.
TEST_F(notice_order, a_limit_that_grows_is_learnt_while_requests_overlap)
{
    for (int i = 0; i < 10; ++i) {
        applyNotice(endpoints, endpoint(), {.limit = i < 3 ? 2 : 8}, at(10 * i), at(10 * i + 15));
    }
    EXPECT_EQ(endpoint().limit, 8);
}

TEST_F(notice_order, an_older_report_does_not_bring_a_limit_back)
{
    const auto hash = endpoint().hash;
    EXPECT_TRUE(applyReport(endpoints, {.endpoint = hash, .limit = 2, .ageMs = 10}, at(0)));
    EXPECT_TRUE(applyNotice(endpoints, endpoint(), {}, at(1), at(2)));
    EXPECT_FALSE(applyReport(endpoints, {.endpoint = hash, .limit = 2, .ageMs = 10}, at(5)));
    EXPECT_FALSE(endpoint().limit);
    EXPECT_FALSE(applyReport(endpoints, {.endpoint = hash + 1, .limit = 2}, at(6)));
}

TEST_F(notice_order, a_new_process_starts_without_what_the_old_one_said)
{
    applyNotice(endpoints, endpoint(), {.leaving = true, .limit = 2, .pause = std::chrono::seconds(9)}, at(0), at(1));
    EXPECT_FALSE(endpoint().usable(at(2)));
    endpoints.update({.id = "e1", .service = "s", .startedMs = 6});
    EXPECT_TRUE(endpoint().usable(at(3)));
    EXPECT_FALSE(endpoint().limit);
    EXPECT_LT(endpoint().pausedUntil, at(3));
}

// Guards against changes that are not reported because many endpoints have a limit, and against limits that are never reported again.
TEST_F(notice_order, reports_changes_first_and_all_others_in_turn)
{
    constexpr int limited = 20;
    for (int i = 0; i < limited; ++i) {
        endpoints.update({.id = absl::StrCat("l", i), .service = "s"});
        applyNotice(endpoints, *endpoints.find(absl::StrCat("l", i)), {.limit = 1}, at(0), at(1));
    }
    applyNotice(endpoints, endpoint(), {.limit = 1}, at(5000), at(5001));
    std::set<std::uint64_t> seen;
    std::size_t next = 0;
    for (int i = 0; i < limited; ++i) {
        const auto reports = selectReports(endpoints, 8, next, at(5002));
        ASSERT_EQ(reports.size(), 2U);
        EXPECT_EQ(reports[0].endpoint, endpoint().hash);
        for (const auto &report : reports) {
            seen.insert(report.endpoint);
        }
    }
    EXPECT_EQ(seen.size(), limited + 1U);
}

// Guards against a limit that lies idle because of daemons that are gone, and against daemons that take the shares of others because they are cut off.
TEST_F(endpoint_notice_test, counts_the_serving_members_unless_most_are_silent)
{
    auto &peers = context->peers;
    for (const auto *id : {"daemon-0", "daemon-4"}) {
        context->members[id] = {};
    }
    EXPECT_EQ(findPlace(*context), (fleet_place{.rank = 1, .daemons = 5})); // Cut off from all.
    peers["daemon-2"] = {.serving = true};
    EXPECT_EQ(findPlace(*context), (fleet_place{.rank = 1, .daemons = 5}));
    peers["daemon-4"] = {.serving = true};
    EXPECT_EQ(findPlace(*context), (fleet_place{.rank = 0, .daemons = 3}));
    peers["daemon-0"] = {.serving = true};
    peers["stranger"] = {.serving = true};
    EXPECT_EQ(findPlace(*context), (fleet_place{.rank = 1, .daemons = 4}));
    peers["daemon-2"].serving = false; // It stops.
    EXPECT_EQ(findPlace(*context), (fleet_place{.rank = 1, .daemons = 3}));
    context->members.erase("daemon-1");
    EXPECT_EQ(findPlace(*context), std::nullopt);
    // A daemon that has started and not read the members yet; its own row is among them.
    context->members.clear();
    EXPECT_EQ(findPlace(*context), std::nullopt);
}

TEST_F(endpoint_notice_test, a_daemon_that_does_not_know_the_members_sends_nothing_to_a_limited_endpoint)
{
    addEndpoint("e2", "desk", second.address());
    context->members.clear();
    notice = "Server-Limit: 50\r\n";
    callFor(std::chrono::milliseconds(100));
    EXPECT_EQ(requestsToFirstDuring(std::chrono::milliseconds(500)), 0U);
    EXPECT_FALSE(second.requests.empty());
}

// Guards against requests beyond the limit when every daemon has many for the endpoint, at sizes from small to large.
TEST(limit_share, all_daemons_together_keep_to_the_limit)
{
    for (const std::size_t daemons : {1U, 9U, 195U}) {
        for (const double perSecond : {0.5, 3.7, 20.0}) {
            std::vector<double> used(daemons, 0);
            std::vector<double> sent;
            for (double nowMs = 1.8e12; nowMs < 1.8e12 + 30'000; nowMs += 10) {
                for (std::size_t rank = 0; rank < daemons; ++rank) {
                    const limit_share share{.perSecond = perSecond, .daemons = daemons, .rank = rank, .offset = 7};
                    if (const double slot = nextFreeSlotMs(share, used[rank], nowMs); slot <= nowMs) {
                        used[rank] = slot;
                        sent.push_back(nowMs);
                    }
                }
            }
            std::size_t worst = 0;
            for (std::size_t begin = 0, end = 0; end < sent.size(); ++end) {
                while (sent[end] - sent[begin] >= 4000) {
                    ++begin;
                }
                worst = std::max(worst, end - begin + 1);
            }
            EXPECT_LE(static_cast<double>(worst), 4 * perSecond + perSecond + 2) << daemons << " daemons, " << perSecond << "/s";
            EXPECT_GE(static_cast<double>(sent.size()), 30 * perSecond - 2) << daemons << " daemons, " << perSecond << "/s";
        }
    }
}

// Guards against a rate above the limit while an endpoint changes it all the time, or while members come and go: each change moves the slots.
TEST(limit_share, a_change_of_the_slots_gives_no_daemon_more_than_its_share)
{
    constexpr double seconds = 60;
    constexpr double beginMs = 1.8e12;
    const auto worstRate = [](std::size_t daemons, double perSecond, int changeMs, bool rosterChanges) {
        std::vector<double> used(daemons, 0);
        std::vector<int> sent;
        std::size_t worst = 0;
        for (int ms = 0, first = 0; ms < seconds * 1000; ms += 10) {
            const int change = ms / changeMs;
            limit_share share{.perSecond = perSecond, .daemons = daemons};
            if (rosterChanges) {
                share.daemons -= static_cast<std::size_t>(change % 2);
            } else {
                // No change by a whole number of rounds, which would leave the slots where they are.
                share.perSecond *= 1 - 0.0137 * (change % 7);
                share.sinceMs = beginMs + change * changeMs;
            }
            for (share.rank = 0; share.rank < share.daemons; ++share.rank) {
                if (const double slot = nextFreeSlotMs(share, used[share.rank], beginMs + ms); slot <= beginMs + ms) {
                    used[share.rank] = slot;
                    sent.push_back(ms);
                }
            }
            while (first < static_cast<int>(sent.size()) && ms - sent[static_cast<std::size_t>(first)] >= 4000) {
                ++first;
            }
            worst = std::max(worst, sent.size() - static_cast<std::size_t>(first));
        }
        EXPECT_LE(static_cast<double>(sent.size()), perSecond * seconds * 1.1 + static_cast<double>(daemons)) << daemons << " daemons, " << perSecond << "/s";
        return worst;
    };
    for (const std::size_t daemons : {1U, 9U, 90U}) {
        for (const double perSecond : {1.0, 2.0, 20.0}) {
            for (const int changeMs : {100, 300, 1000}) {
                // The slots of 4 s and of the second before, and one at each end.
                EXPECT_LE(worstRate(daemons, perSecond, changeMs, false), 5 * perSecond + 2)
                    << daemons << " daemons, " << perSecond << "/s, a change each " << changeMs << " ms";
            }
        }
    }
    worstRate(9, 2, 100, true);
}

// Guards against slots that move all the time, and against servers that are left idle.
TEST(limit_share, a_rounded_limit_stays_close_and_does_not_change_with_small_changes)
{
    for (double perSecond = 0.1; perSecond < 1000; perSecond *= 1.01) {
        const double rounded = roundLimit(perSecond);
        EXPECT_LE(rounded, perSecond * 1.00001);
        EXPECT_GE(rounded, perSecond * 0.91);
        EXPECT_EQ(roundLimit(rounded), rounded);
    }
    EXPECT_EQ(roundLimit(1), 1);
    EXPECT_EQ(roundLimit(4), 4);
    EXPECT_EQ(roundLimit(3.7), roundLimit(3.8));
}

// Guards against numbers that have no slot.
TEST(limit_share, a_limit_of_any_size_has_slots)
{
    for (const double perSecond : {0.0, 1e-300, 1e9, 1e300}) {
        const limit_share share{.perSecond = roundLimit(perSecond), .daemons = 9, .rank = 3, .offset = 7};
        const double nowMs = 1.8e12;
        const double slot = nextFreeSlotMs(share, 0, nowMs);
        EXPECT_GE(slot, nowMs - 1000) << perSecond;
        EXPECT_LE(slot, perSecond < 1 ? nowMs + 100'000 : nowMs) << perSecond;
        EXPECT_GT(nextFreeSlotMs(share, slot, nowMs), slot) << perSecond;
    }
}

}
