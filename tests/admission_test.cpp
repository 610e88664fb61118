#include "coordination/admission.h"

#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

/// A request of 1,000 weighted tokens from one of eight organisations with equal weights.
admit_input request()
{
    return {.requestId = "r1",
            .organisation = "o1",
            .promptTokens = 700,
            .maxOutputTokens = 100,
            .groupTokenShare = 80000,
            .activeWeight = 8,
            .remainingMs = 10000};
}

}

// Guards against an organisation or key with more requests in flight than its limit.
TEST(admission, enforces_concurrency_limits)
{
    auto input = request();
    input.limits.concurrentRequests = 3;
    input.organisationInFlight = 3;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Refuse);
    input.organisationInFlight = 2;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
    input.keyLimit = 2;
    input.keyInFlight = 2;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Refuse);
}

// Guards against a token limit that admits too much, or a retry delay after which the bucket is still too low.
TEST(admission, enforces_the_token_bucket)
{
    auto input = request();
    input.limits = {.tokensPerSecond = 500, .burstTokens = 2000};
    input.bucketTokens = 250;
    const auto refused = decideAdmission(input);
    EXPECT_EQ(refused.verdict, admit_verdict::Refuse);
    EXPECT_DOUBLE_EQ(refused.retryAfterMs, 1500);
    input.bucketTokens = 1000;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
}

// Guards against refusing a request that is larger than the bucket at every retry.
TEST(admission, a_full_bucket_admits_any_request)
{
    auto input = request();
    input.limits = {.tokensPerSecond = 500, .burstTokens = 600};
    input.bucketTokens = 600;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
}

// Guards against running a request whose answer must come after its deadline, and against refusing one that can meet it.
TEST(admission, refuses_when_the_first_token_would_miss_the_deadline)
{
    auto input = request();
    input.remainingMs = 1000;
    input.predictedFirstTokenMs = 1001;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Refuse);
    input.predictedFirstTokenMs = 1000;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
}

// Guards against a burst of one organisation that delays organisations below their share.
TEST(admission, a_burst_waits_for_organisations_below_their_share)
{
    auto input = request();
    input.organisationTokensInFlight = 40000;
    input.groupTokensInFlight = 60000;
    input.waitingBelowShare = 1;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Wait);
    input.organisationTokensInFlight = 2000;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
}

// Guards against idle capacity while only one organisation has requests, and against use of the reserved fraction.
TEST(admission, unused_share_may_be_used_up_to_the_reserve)
{
    auto input = request();
    input.organisationTokensInFlight = 60000;
    input.groupTokensInFlight = 60000;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
    input.groupTokensInFlight = 72000;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Wait);
}

// Guards against ordering by arrival, which would run the whole burst of one organisation before the few requests of another.
TEST(admission, order_interleaves_organisations_by_weight)
{
    queue_order_input input;
    for (std::uint64_t arrival = 0; arrival < 4; ++arrival) {
        input.waiting.push_back({.id = "big" + std::to_string(arrival), .organisation = "big", .costTokens = 100, .arrival = arrival});
    }
    input.waiting.push_back({.id = "small0", .organisation = "small", .weight = 2, .costTokens = 100, .arrival = 4});
    input.waiting.push_back({.id = "small1", .organisation = "small", .weight = 2, .costTokens = 100, .arrival = 5});
    EXPECT_EQ(orderWaiting(input).requests, (std::vector<std::string>{"small0", "big0", "small1", "big1", "big2", "big3"}));
    input.policy = first_come_admission{};
    EXPECT_EQ(orderWaiting(input).requests.front(), "big0");
}

// Guards against running the next request of an organisation first although it has received more service than others.
TEST(admission, order_counts_work_already_served)
{
    queue_order_input input;
    input.waiting = {{.id = "a", .organisation = "a", .costTokens = 10, .arrival = 0}, {.id = "b", .organisation = "b", .costTokens = 100, .arrival = 1}};
    input.served = {{.organisation = "a", .servedPerWeight = 1000}};
    EXPECT_EQ(orderWaiting(input).requests.front(), "b");
}

// Guards against late requests that run first under overload and make all other requests late as well.
TEST(admission, order_puts_late_requests_last)
{
    queue_order_input input;
    input.waiting = {{.id = "late", .organisation = "a", .costTokens = 10, .arrival = 0, .late = true},
                     {.id = "timely", .organisation = "b", .costTokens = 10, .arrival = 1}};
    EXPECT_EQ(orderWaiting(input).requests.front(), "timely");
    EXPECT_EQ(orderWaiting(input).requests.back(), "late");
}

// Guards against long queues at the engines, where fair queueing between organisations has no effect.
TEST(admission, waits_while_the_engines_have_full_queues)
{
    auto input = request();
    input.predictedQueueMs = 1000;
    input.predictedFirstTokenMs = 1100;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Wait);
}

// Guards against late requests, or requests above their organisation's share, that delay requests that can still be on time.
TEST(admission, late_and_over_share_requests_leave_the_queue_to_others)
{
    auto input = request();
    input.predictedQueueMs = 100;
    input.predictedFirstTokenMs = 200;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Admit);
    input.late = true;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Wait);
    input.late = false;
    input.organisationTokensInFlight = 20000;
    input.groupTokensInFlight = 20000;
    EXPECT_EQ(decideAdmission(input).verdict, admit_verdict::Wait);
}

// Guards against a capacity that counts endpoints which cannot take work, or that plans engines up to their last stream.
TEST(admission, group_capacity_counts_usable_endpoints)
{
    std::vector<endpoint_view> endpoints
        = {{.id = "a", .role = endpoint_role::Decode}, {.id = "b", .role = endpoint_role::Decode}, {.id = "c"}, {.id = "p", .role = endpoint_role::Prefill}};
    endpoints[1].leaving = true;
    // 110 streams on the decode engine, 30 on the mixed one, at 90%.
    EXPECT_NEAR(groupCapacityTokens(endpoints, 1000), 126000, 1000);
}

}
