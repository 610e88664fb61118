#include "edge_fixture.h"

#include <absl/strings/numbers.h>

namespace lacewinglock
{

namespace
{

class quota_forward : public edge_fixture
{
protected:
    void configureQuota(const quota_limits &quota)
    {
        auto route = makeRoute("/read/", "desk");
        route.repeatable = true;
        configure({route}, true);
        auto changed = std::make_shared<serving_configuration>(*context->configuration);
        changed->organisations[0].quota = quota;
        context->configuration = changed;
    }

    int callsUntilRefusal(std::string_view fields, caller_result &refused)
    {
        for (int i = 0; i < 100; ++i) {
            refused = call(get("/read/1", absl::StrCat("X-Api-Key: secret\r\n", std::string(fields))));
            if (refused.status == 429) {
                return i;
            }
        }
        return -1;
    }
};

}

// Guards against a quota that is not kept to, a refusal that reaches an endpoint, and one without the time to return.
TEST_F(quota_forward, refuses_what_exceeds_the_quota)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "ok")};
    });
    configureQuota({.ratePerSecond = 0.1, .burst = 16});
    addEndpoint("e1", "desk", endpoint.address());
    caller_result refused;
    const int served = callsUntilRefusal("", refused);
    EXPECT_GE(served, 2);
    EXPECT_LE(served, 20);
    EXPECT_EQ(endpoint.requests.size(), static_cast<std::size_t>(served));
    double seconds = 0;
    ASSERT_TRUE(absl::SimpleAtod(std::string(toView(refused.head["Retry-After"])), &seconds));
    EXPECT_GT(seconds, 0);
    EXPECT_NE(context->counters.text().find("lacewinglock_quota_refusals_total 1\n"), std::string::npos);
}

// Guards against token quotas that count requests: one with many tokens costs as much as many with few.
TEST_F(quota_forward, a_quota_of_tokens_counts_those_of_the_header_or_of_the_configuration)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "ok")};
    });
    const quota_limits tokens{.ratePerSecond = 1, .burst = 1e6, .unit = quota_unit::Tokens, .uncountedCost = 100'000};
    configureQuota(tokens);
    addEndpoint("e1", "desk", endpoint.address());
    caller_result refused;
    const int small = callsUntilRefusal("X-Token-Counts: 20000,30000\r\n", refused);
    EXPECT_GE(small, 4);
    context->quotas = quota_ledger(std::chrono::seconds(8), 1, bootNow());
    const int uncounted = callsUntilRefusal("", refused);
    EXPECT_NEAR(small, 2 * uncounted, 1);
}

// Guards against an organisation that pays for requests that no endpoint ran: the quota would be used up after a few refusals.
TEST_F(quota_forward, requests_that_did_not_run_cost_nothing)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: 1\r\n")};
    });
    configureQuota({.ratePerSecond = 0.1, .burst = 16});
    addEndpoint("e1", "desk", endpoint.address());
    caller_result refused;
    EXPECT_EQ(callsUntilRefusal("", refused), -1);
    EXPECT_EQ(refused.status, 503);
}

// Guards against a quota that is exceeded by callers who leave: their requests have reached an endpoint and may run there.
TEST_F(quota_forward, requests_whose_callers_leave_are_paid_for)
{
    scripted_server endpoint(loop, [](const http_request & /*request*/, int) {
        return scripted_answer{.silent = true};
    });
    configureQuota({.ratePerSecond = 0.1, .burst = 16});
    addEndpoint("e1", "desk", endpoint.address());
    const auto never = [] {
        return false;
    };
    for (int i = 0; i < 30; ++i) {
        tcp::socket caller(loop);
        caller.connect(callers);
        asio::write(caller, asio::buffer(get("/read/1", "X-Api-Key: secret\r\n")));
        runUntil(never, std::chrono::milliseconds(20));
        caller.close();
        runUntil(never, std::chrono::milliseconds(20));
    }
    EXPECT_GE(endpoint.requests.size(), 2U);
    EXPECT_LE(endpoint.requests.size(), 20U);
}

// Guards against limits for organisations that have none.
TEST_F(quota_forward, an_organisation_without_a_quota_has_no_state)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "ok")};
    });
    configure({makeRoute("/read/", "desk")}, true);
    addEndpoint("e1", "desk", endpoint.address());
    EXPECT_EQ(call(get("/read/1", "X-Api-Key: secret\r\n")).status, 200);
    EXPECT_EQ(context->quotas.size(), 0U);
}

}
