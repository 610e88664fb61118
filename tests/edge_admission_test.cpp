#include "edge_fixture.h"

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// A service with one slot that refuses others, while more urgent requests are about.
class edge_admission : public edge_fixture
{
protected:
    void begin(scripted_server &endpoint, bool fairAdmission)
    {
        context->settings.fairAdmission = fairAdmission;
        auto route = makeRoute("/read/", "desk");
        route.repeatable = true;
        configure({route});
        context->endpoints.update({.id = "e1", .service = "desk", .address = endpoint.address(), .failureDomain = "domain-a", .slots = 1});
        const metered_request urgent{.service = "desk", .priority = 0, .organisation = "other", .size = 100};
        context->admission.meter.noteArrival(urgent, bootNow());
        context->admission.meter.noteRefusal(urgent, bootNow());
        startCall(get("/read/1"), first, firstDone);
        ASSERT_TRUE(runUntil(
            [&] {
                return endpoint.requests.size() == 1;
            },
            1s));
    }

    std::size_t waiting() const
    {
        return context->admission.queue.size();
    }

    caller_result first;
    bool firstDone = false;
};

scripted_answer answerAfter(std::chrono::milliseconds time, const http_request &request)
{
    return {.bytes = wholeAnswer(request, 200, "done"), .delay = time};
}

}

// Guards against a request that is refused, or sent to a full endpoint, although a slot becomes free while it may wait.
TEST_F(edge_admission, a_request_waits_for_a_slot)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return answerAfter(50ms, request);
    });
    begin(endpoint, true);
    const auto second = call(get("/read/2"));
    EXPECT_EQ(second.status, 200);
    EXPECT_GE(second.ms, 60);
    EXPECT_TRUE(firstDone);
    EXPECT_EQ(waiting(), 0U);
    EXPECT_NE(context->counters.text().find("lacewinglock_admission_waits_total 1"), std::string::npos);
}

// Guards against a request that is held for longer than a third of its target, and a refusal without a time to return.
TEST_F(edge_admission, a_wait_in_vain_ends_in_a_refusal)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return answerAfter(700ms, request);
    });
    begin(endpoint, true);
    const auto second = call(get("/read/2"));
    EXPECT_EQ(second.status, 503);
    EXPECT_GE(std::stod(std::string(toView(second.head["Retry-After"]))), 0.25);
    EXPECT_LE(second.ms, 200); // The target is 300 ms.
    EXPECT_EQ(endpoint.requests.size(), 1U);
    EXPECT_NE(context->counters.text().find("lacewinglock_admission_refusals_total 1"), std::string::npos);
}

// Guards against a service that counts as overloaded because callers leave: their requests are not refused.
TEST_F(edge_admission, a_caller_that_leaves_is_not_counted_as_refused)
{
    scripted_server endpoint(loop, [](const http_request & /*request*/, int) {
        return scripted_answer{.silent = true};
    });
    context->settings.fairAdmission = true;
    auto route = makeRoute("/read/", "desk");
    route.repeatable = true;
    configure({route});
    context->endpoints.update({.id = "e1", .service = "desk", .address = endpoint.address(), .failureDomain = "domain-a", .slots = 4});
    tcp::socket caller(loop);
    caller.connect(callers);
    asio::write(caller, asio::buffer(get("/read/1")));
    const auto arrived = [&] {
        return endpoint.requests.size() == 1;
    };
    ASSERT_TRUE(runUntil(arrived, 1s));
    caller.close();
    const auto ended = [&] {
        return context->endpoints.find("e1")->own.running == 0;
    };
    ASSERT_TRUE(runUntil(ended, 1s));
    const metered_request request{.service = "desk", .priority = route.priority};
    const auto load = context->admission.meter.loadFor(request, context->sums, bootNow());
    EXPECT_GT(load.demand, 0);
    EXPECT_EQ(load.unserved, 0);
}

// Guards against requests in the queue whose caller has left or whose daemon stops.
TEST_F(edge_admission, a_wait_ends_with_its_caller_and_with_the_daemon)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return answerAfter(700ms, request);
    });
    begin(endpoint, true);
    const auto waits = [&] {
        return waiting() == 1;
    };
    const auto nobodyWaits = [&] {
        return waiting() == 0;
    };
    tcp::socket caller(loop);
    caller.connect(callers);
    asio::write(caller, asio::buffer(get("/read/2")));
    ASSERT_TRUE(runUntil(waits, 60ms));
    caller.close();
    EXPECT_TRUE(runUntil(nobodyWaits, 60ms));
    caller_result third;
    bool done = false;
    startCall(get("/read/3"), third, done);
    ASSERT_TRUE(runUntil(waits, 60ms));
    context->stopping = true;
    EXPECT_TRUE(runUntil(
        [&] {
            return done;
        },
        80ms));
    EXPECT_EQ(third.status, 503);
    EXPECT_EQ(endpoint.requests.size(), 1U);
}

// Guards against a deployment that is served differently although it has not asked for admission in order.
TEST_F(edge_admission, is_off_by_default)
{
    scripted_server endpoint(loop, [](const http_request &request, int) {
        return answerAfter(100ms, request);
    });
    EXPECT_FALSE(edge_settings().fairAdmission);
    begin(endpoint, false);
    caller_result second;
    bool done = false;
    startCall(get("/read/2"), second, done);
    EXPECT_TRUE(runUntil(
        [&] {
            return endpoint.requests.size() == 2;
        },
        90ms));
    EXPECT_EQ(waiting(), 0U);
}

}
