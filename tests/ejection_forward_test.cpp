#include "edge_fixture.h"

#include <algorithm>
#include <deque>
#include <functional>

namespace lacewinglock
{

namespace
{

/// Three endpoints of a service, the first of which resets each connection while `broken` is set.
class ejection_forward : public edge_fixture
{
protected:
    static serving_route streamRoute()
    {
        auto route = makeRoute("/gen/", "engines");
        route.stream = true;
        route.generation = true;
        route.resumable = true;
        route.repeatable = true;
        route.timeout = std::chrono::seconds(4);
        route.target = std::chrono::seconds(2);
        return route;
    }

    void start(const serving_route &route, const std::string &service, std::optional<endpoint_role> role, const scripted_server::script &healthy)
    {
        for (int i = 0; i < 3; ++i) {
            servers.push_back(std::make_unique<scripted_server>(loop, [this, i, healthy](const http_request &request, int number) {
                return i == 0 && broken ? scripted_answer{.reset = true} : healthy(request, number);
            }));
            addEndpoint(absl::StrCat("e", i), service, servers.back()->address(), role);
        }
        configure({route});
    }

    /// Sends calls, `width` at a time, and returns how many were served.
    int served(const std::string &bytes, int rounds)
    {
        int count = 0;
        for (int round = 0; round < rounds; ++round) {
            std::vector<caller_result> results(width);
            std::deque<bool> done(width);
            for (std::size_t i = 0; i < width; ++i) {
                startCall(bytes, results[i], done[i]);
            }
            runUntil(
                [&done] {
                    return std::ranges::all_of(done, std::identity());
                },
                std::chrono::seconds(10));
            count += static_cast<int>(std::ranges::count_if(results, [](const auto &result) {
                return result.status == 200 && result.whole;
            }));
        }
        return count;
    }

    /// Like served(), while placement forgets the failures of the first endpoint: it stays the first choice, as one with a cached prefix.
    int servedAsFirstChoice(const std::string &bytes, int rounds)
    {
        int count = 0;
        for (int i = 0; i < rounds; ++i) {
            context->endpoints.find("e0")->failureRate = 0;
            count += served(bytes, 1);
        }
        return count;
    }

    /// Whether the first endpoint gets calls like the others again.
    bool runsAgain(const std::string &bytes)
    {
        const auto before = servers[0]->requests.size();
        for (int i = 0; i < 200 && servers[0]->requests.size() < before + 2 * width; ++i) {
            served(bytes, 1);
        }
        return servers[0]->requests.size() >= before + 2 * width;
    }

    std::size_t width = 8; ///< Calls at a time. As many as two of the endpoints run at once.
    std::vector<std::unique_ptr<scripted_server>> servers;
    bool broken = true;
};

}

// Guards against an endpoint that resets connections at once, gets each call first, and uses up the retry budget; and against an endpoint that stays
// without calls after it has recovered.
TEST_F(ejection_forward, calls_leave_an_endpoint_that_resets_at_once)
{
    width = 12; // As many as all three run at once, so that placement does not keep to the other two.
    auto route = makeRoute("/read/", "desk");
    route.repeatable = true;
    start(route, "desk", std::nullopt, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, "stock"), .delay = std::chrono::milliseconds(20)};
    });
    EXPECT_GE(served(get("/read/1"), 40), 456); // 95%.
    EXPECT_LE(servers[0]->requests.size(), 30U);
    EXPECT_EQ(context->counters.text().find("lacewinglock_endpoints_ejected_total 0"), std::string::npos);
    broken = false;
    EXPECT_TRUE(runsAgain(get("/read/1")));
}

// Guards against the same for streams.
TEST_F(ejection_forward, streams_leave_an_engine_that_resets_at_once)
{
    start(streamRoute(), "engines", endpoint_role::Decode, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n", .delay = std::chrono::milliseconds(20)};
    });
    const auto generation = post("/gen/1", "prompt", "X-Model-Name: m\r\nX-Token-Counts: 300,20\r\nX-Prefix-Hash: a1:200,b2:100\r\n");
    EXPECT_GE(servedAsFirstChoice(generation, 40), 304); // 95%.
    EXPECT_LE(servers[0]->requests.size(), 30U);
    broken = false;
    EXPECT_TRUE(runsAgain(generation));
}

// Guards against the same for prefills on separate engines.
TEST_F(ejection_forward, prefills_leave_an_engine_that_resets_at_once)
{
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    width = 3; // The decode engine has four slots, and after a prefill one more must be free.
    addEndpoint("f", "engines", decodeEngine.address(), endpoint_role::Decode);
    start(streamRoute(), "engines", endpoint_role::Prefill, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"kv-handle":"h1","tokens":900,"version":1})"), .delay = std::chrono::milliseconds(20)};
    });
    const auto generation = post("/gen/1", "prompt", "X-Model-Name: m\r\nX-Token-Counts: 900,20\r\n");
    EXPECT_GE(servedAsFirstChoice(generation, 60), 171); // 95%.
    EXPECT_GE(servers[0]->requests.size(), 1U);
    EXPECT_LE(servers[0]->requests.size(), 30U);
    broken = false;
    EXPECT_TRUE(runsAgain(generation));
}

}
