#include "edge_fixture.h"

#include <atomic>
#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

class stream_forward : public edge_fixture
{
protected:
    serving_route streamRoute(bool resumable)
    {
        auto route = makeRoute("/gen/", "engines");
        route.stream = true;
        route.generation = true;
        route.resumable = resumable;
        route.repeatable = resumable;
        route.timeout = std::chrono::seconds(4);
        route.target = std::chrono::seconds(2);
        route.maxAttempts = resumable ? 2 : 1;
        return route;
    }

    std::string generation(int promptTokens = 300)
    {
        return generationWith("a1:200,b2:100", promptTokens);
    }

    static std::string generationWith(std::string_view parts, int promptTokens = 300)
    {
        return post("/gen/1",
                    absl::StrCat("prompt ", std::string(parts)),
                    absl::StrCat("X-Model-Name: m\r\nX-Token-Counts: ", promptTokens, ",20\r\nX-Prefix-Hash: ", std::string(parts), "\r\n"));
    }

    /// Starts engines that crash when they begin to write an answer to a prompt with the part "bad", after `events` have been sent.
    void startCrashingEngines(std::size_t count, const std::string &events = "")
    {
        for (std::size_t i = 0; i < count; ++i) {
            engines.push_back(std::make_unique<scripted_server>(loop, [this, i, events](const http_request &request, int) {
                if (toView(request["X-Prefix-Hash"]).find("bad:") != std::string_view::npos) {
                    engines[i]->stop();
                    ++crashedEngines;
                    return scripted_answer{.bytes = streamHead(request) + events, .reset = true};
                }
                return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
            }));
            addEndpoint(absl::StrCat("e", i), "engines", engines.back()->address(), endpoint_role::Decode);
        }
    }

    /// Two decode engines with the same script behind a resumable route.
    std::pair<scripted_server, scripted_server> &startPair(const scripted_server::script &script)
    {
        pair.emplace(std::piecewise_construct, std::forward_as_tuple(loop, script), std::forward_as_tuple(loop, script));
        configure({streamRoute(true)});
        addEndpoint("e1", "engines", pair->first.address(), endpoint_role::Decode);
        addEndpoint("e2", "engines", pair->second.address(), endpoint_role::Decode);
        return *pair;
    }

    void pause(std::chrono::milliseconds time)
    {
        runUntil(
            [] {
                return false;
            },
            time);
    }

    /// Sends a request and reads nothing of the answer for `silence`.
    task<void> callSlowly(std::string bytes, std::chrono::milliseconds silence, caller_result &result, bool &done)
    {
        boost::system::error_code error;
        tcp::socket socket(loop);
        co_await socket.async_connect(callers, errorTo(error));
        co_await asio::async_write(socket, asio::buffer(bytes), errorTo(error));
        co_await sleepFor(silence);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(64U << 20U);
        co_await http::async_read(socket, buffer, parser, errorTo(error));
        result.whole = !error;
        result.body = parser.get().body();
        done = true;
    }

    std::vector<std::unique_ptr<scripted_server>> engines;
    std::optional<std::pair<scripted_server, scripted_server>> pair;
    int crashedEngines = 0;
};

}

// Guards against a broken stream that looks complete to the caller, and against a second run of a stream that must not run twice.
TEST_F(stream_forward, leaves_a_broken_stream_incomplete)
{
    scripted_server first(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)), .close = true};
    });
    scripted_server second(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
    const auto result = call(generation());
    EXPECT_TRUE(result.answered);
    EXPECT_FALSE(result.whole);
    EXPECT_EQ(first.requests.size() + second.requests.size(), 1U);
}

// Guards against missing, repeated or merged events when a resumable stream continues at another engine.
TEST_F(stream_forward, resumes_a_broken_stream_elsewhere)
{
    int calls = 0;
    const auto script = [&calls](const http_request &request, int) {
        if (++calls == 1) {
            return scripted_answer{.bytes = streamHead(request, "first") + chunk(event(1) + event(2) + "id: 3\nda"), .close = true};
        }
        return scripted_answer{.bytes = streamHead(request, "second") + chunk(event(2) + event(3)) + chunk(event(4)) + "0\r\n\r\n"};
    };
    scripted_server first(loop, script);
    scripted_server second(loop, script);
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
    addEndpoint("e2", "engines", second.address(), endpoint_role::Decode);
    const auto result = call(generation());
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2) + event(3) + event(4));
    EXPECT_EQ(result.head["X-Response-Seal"], "first");
    const auto &resumed = first.requests.size() > 0 && second.requests.size() > 0 ? (first.requests[0]["Last-Event-Id"].empty() ? second : first) : second;
    ASSERT_EQ(resumed.requests.size(), 1U);
    EXPECT_EQ(resumed.requests[0]["Last-Event-Id"], "2");
}

// Guards against a lost prefill: the KV handle from the prefill engine must be sent to the decode engine with the request.
TEST_F(stream_forward, prefills_on_a_separate_engine)
{
    scripted_server prefillEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"kv-handle":"h1","tokens":17000,"version":1})")};
    });
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", prefillEngine.address(), endpoint_role::Prefill);
    addEndpoint("e2", "engines", decodeEngine.address(), endpoint_role::Decode);
    const auto result = call(generation(17000));
    EXPECT_TRUE(result.whole);
    ASSERT_EQ(prefillEngine.requests.size(), 1U);
    EXPECT_EQ(prefillEngine.requests[0]["X-Serving-Stage"], "prefill");
    ASSERT_EQ(decodeEngine.requests.size(), 1U);
    EXPECT_EQ(decodeEngine.requests[0]["X-Kv-Source"], prefillEngine.address() + "/h1");
    EXPECT_EQ(decodeEngine.requests[0]["X-Serving-Stage"], "");
}

// Guards against KV memory that stays allocated at the prefill engine when the decode engine refuses the request.
TEST_F(stream_forward, frees_the_kv_handle_when_decode_is_refused)
{
    scripted_server prefillEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"kv-handle":"h1"})")};
    });
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: 1\r\n")};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", prefillEngine.address(), endpoint_role::Prefill);
    addEndpoint("e2", "engines", decodeEngine.address(), endpoint_role::Decode);
    const auto result = call(generation(17000));
    EXPECT_EQ(result.status, 503);
    EXPECT_FALSE(result.head["Retry-After"].empty());
    EXPECT_TRUE(runUntil(
        [&] {
            return prefillEngine.requests.size() == 2;
        },
        std::chrono::seconds(1)));
    EXPECT_EQ(prefillEngine.requests[1].method(), http::verb::delete_);
    EXPECT_EQ(prefillEngine.requests[1].target(), "/-/kv-handle/h1");
}

// Guards against a request sent to a decode engine that left during the prefill.
TEST_F(stream_forward, chooses_the_decode_engine_after_the_prefill)
{
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    scripted_server leaving(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    scripted_server prefillEngine(loop, [this](const http_request &request, int) {
        context->endpoints.remove("e2", bootNow());
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"kv-handle":"h1"})"), .delay = std::chrono::milliseconds(20)};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", prefillEngine.address(), endpoint_role::Prefill);
    addEndpoint("e2", "engines", leaving.address(), endpoint_role::Decode);
    addEndpoint("e3", "engines", decodeEngine.address(), endpoint_role::Decode);
    context->endpoints.find("e3")->peers.running = 2;
    EXPECT_TRUE(call(generation(17000)).whole);
    EXPECT_TRUE(leaving.requests.empty());
    EXPECT_EQ(decodeEngine.requests.size(), 1U);
}

// Guards against a request that waits until its deadline although no engine can take it.
TEST_F(stream_forward, refuses_at_once_when_no_engine_is_up)
{
    configure({streamRoute(false)});
    const auto result = call(generation());
    EXPECT_EQ(result.status, 503);
    EXPECT_FALSE(result.head["Retry-After"].empty());
    EXPECT_LT(result.ms, 200);
}

// Guards against prompts that are all different, but share a part that crashes each engine, crashing one engine after the other.
TEST_F(stream_forward, refuses_prompts_with_a_part_that_crashed_several_engines)
{
    configure({streamRoute(false)});
    startCrashingEngines(12);
    for (int i = 0; i < 4; ++i) {
        call(generationWith(absl::StrCat("a1:100,bad:100,f", i, ":100")));
        pause(std::chrono::milliseconds(150));
    }
    pause(std::chrono::milliseconds(500));
    const int crashedBefore = crashedEngines;
    for (int i = 0; i < 4; ++i) {
        const auto refused = call(generationWith(absl::StrCat("a1:100,bad:100,e", i, ":100")));
        EXPECT_EQ(refused.status, 503);
        EXPECT_FALSE(refused.head["Retry-After"].empty());
    }
    EXPECT_EQ(crashedEngines, crashedBefore);
    // The same caller, with the same first part and with a part that was in none of the crashes.
    EXPECT_TRUE(call(generationWith("a1:100,c3:100,d4:100")).whole);
}

// Guards against engines that crash on a part after the first event of their answer, which was taken for a mere broken connection.
TEST_F(stream_forward, refuses_prompts_with_a_part_that_crashed_engines_after_their_first_event)
{
    configure({streamRoute(false)});
    startCrashingEngines(12, chunk(event(1)));
    for (int i = 0; i < 4; ++i) {
        EXPECT_FALSE(call(generationWith(absl::StrCat("a1:100,bad:100,f", i, ":100"))).whole);
        pause(std::chrono::milliseconds(150));
    }
    pause(std::chrono::milliseconds(500));
    EXPECT_EQ(call(generationWith("a1:100,bad:100,e1:100")).status, 503);
    EXPECT_EQ(crashedEngines, 4);
}

// Guards against a common part that is never cleared of crashes because the success of streams is not counted for it.
TEST_F(stream_forward, a_complete_stream_clears_the_parts_of_its_prompt)
{
    configure({streamRoute(false)});
    startCrashingEngines(1);
    const auto part = suspect_requests::partKey(0xa1);
    context->suspects.recordCrash(part, 1, bootNow());
    ASSERT_TRUE(call(generationWith("a1:100,c3:100,d4:100")).whole);
    EXPECT_EQ(context->suspects.crashes(part, bootNow()), 0);
}

// Guards against sending a prompt to a decode engine although a part of it was found to crash engines while the prompt was prefilled.
TEST_F(stream_forward, frees_the_prompt_when_a_part_is_refused_during_the_prefill)
{
    scripted_server prefillEngine(loop, [this](const http_request &request, int) {
        for (std::uint64_t process = 1; process <= 3; ++process) {
            context->suspects.recordCrash(suspect_requests::partKey(0xbad), process, bootNow() - std::chrono::milliseconds(1000 - 200 * process));
        }
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"kv-handle":"h1"})")};
    });
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    configure({streamRoute(false)});
    addEndpoint("p1", "engines", prefillEngine.address(), endpoint_role::Prefill);
    addEndpoint("d1", "engines", decodeEngine.address(), endpoint_role::Decode);
    EXPECT_EQ(call(generationWith("a1:100,bad:16800,f1:100", 17000)).status, 503);
    EXPECT_TRUE(decodeEngine.requests.empty());
    EXPECT_TRUE(runUntil(
        [&] {
            return prefillEngine.requests.size() == 2;
        },
        std::chrono::seconds(1)));
    EXPECT_EQ(prefillEngine.requests[1].method(), http::verb::delete_);
}

// Guards against a sound stream that is cut, and run again elsewhere, because its caller takes the events slowly.
TEST_F(stream_forward, a_slow_caller_does_not_make_the_engine_look_silent)
{
    std::string events;
    std::string body;
    for (int id = 1; id <= 40; ++id) {
        const auto large = absl::StrCat("id: ", id, "\ndata: ", std::string(500'000, 'x'), "\n\n");
        events += chunk(large);
        body += large;
    }
    const auto script = [&](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + events + "0\r\n\r\n"};
    };
    scripted_server first(loop, script);
    scripted_server second(loop, script);
    auto route = streamRoute(true);
    route.timeout = std::chrono::seconds(10);
    configure({route});
    addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
    addEndpoint("e2", "engines", second.address(), endpoint_role::Decode);
    caller_result result;
    bool done = false;
    asio::co_spawn(loop, callSlowly(generation(), std::chrono::milliseconds(1500), result, done), asio::detached);
    runUntil(
        [&] {
            return done;
        },
        std::chrono::seconds(10));
    EXPECT_TRUE(result.whole);
    EXPECT_TRUE(result.body == body);
    EXPECT_EQ(first.requests.size() + second.requests.size(), 1U);
}

// Guards against a stream that ends with its connection being taken for a broken one, or its connection being used again.
TEST_F(stream_forward, passes_on_a_stream_that_ends_with_its_connection)
{
    const std::string events = event(1) + "id: 2\r\ndata: piece2\r\n\r\n";
    scripted_server engine(loop, [&](const http_request &request, int) {
        return scripted_answer{.bytes = unframedAnswer(request, 200, events), .close = true};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", engine.address(), endpoint_role::Decode);
    for (int i = 0; i < 2; ++i) {
        const auto result = call(generation());
        EXPECT_TRUE(result.whole);
        EXPECT_EQ(result.body, events);
    }
    EXPECT_EQ(engine.connections, 2);
}

// Guards against a stream that ends with its connection inside an event and looks complete to the caller.
TEST_F(stream_forward, takes_a_stream_that_ends_inside_an_event_for_broken)
{
    for (const std::string tail :
         {"i", "id: 2\ndata: piece2", "id: 2\ndata: piece2\n", "id: 2\r\ndata: piece2\r\n", "id: 2\r\ndata: piece2\r\n\r", ": comment\n", "\r"}) {
        SCOPED_TRACE(testing::PrintToString(tail));
        int calls = 0;
        const auto script = [&](const http_request &request, int) {
            return scripted_answer{.bytes = unframedAnswer(request, 200, ++calls == 1 ? event(1) + tail : event(2)), .close = true};
        };
        scripted_server first(loop, script);
        scripted_server second(loop, script);
        addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
        context->endpoints.remove("e2", bootNow());
        configure({streamRoute(false)});
        const auto broken = call(generation());
        EXPECT_TRUE(broken.answered);
        EXPECT_FALSE(broken.whole);
        EXPECT_EQ(calls, 1);
        calls = 0;
        addEndpoint("e2", "engines", second.address(), endpoint_role::Decode);
        configure({streamRoute(true)});
        const auto resumed = call(generation());
        EXPECT_TRUE(resumed.whole);
        EXPECT_EQ(resumed.body, event(1) + event(2));
        EXPECT_EQ(calls, 2);
    }
}

// Guards against a stream without chunks that looks complete although its connection was reset after a whole event.
TEST_F(stream_forward, takes_an_unframed_stream_that_was_reset_for_broken)
{
    scripted_server engine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = unframedAnswer(request, 200, event(1)), .reset = true};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", engine.address(), endpoint_role::Decode);
    const auto result = call(generation());
    EXPECT_TRUE(result.answered);
    EXPECT_FALSE(result.whole);
}

// Guards against a server that crashes before its first event and ends the answer of the caller as complete.
TEST_F(stream_forward, takes_an_unframed_stream_without_events_for_broken)
{
    int calls = 0;
    std::string firstEvents;
    const auto script = [&](const http_request &request, int) {
        return scripted_answer{.bytes = unframedAnswer(request, 200, ++calls == 1 ? firstEvents : ""), .close = true};
    };
    scripted_server first(loop, script);
    scripted_server second(loop, script);
    addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
    addEndpoint("e2", "engines", second.address(), endpoint_role::Decode);
    configure({streamRoute(true)});
    EXPECT_EQ(call(generation()).status, 502);
    EXPECT_EQ(calls, 2);
    calls = 0;
    firstEvents = event(1) + "id: 2";
    const auto resumed = call(generation());
    EXPECT_TRUE(resumed.answered);
    EXPECT_FALSE(resumed.whole);
    EXPECT_EQ(calls, 2);
}

// Guards against a crash that is not counted because the connection ended in order before the first event was complete.
TEST_F(stream_forward, counts_a_crash_that_ends_a_stream_in_order)
{
    scripted_server engine(loop, [&](const http_request &request, int) {
        engine.stop();
        return scripted_answer{.bytes = unframedAnswer(request, 200, "id: 1\nda"), .close = true};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", engine.address(), endpoint_role::Decode);
    call(generation());
    pause(std::chrono::milliseconds(100));
    EXPECT_EQ(context->suspects.crashes(suspect_requests::partKey(0xa1), bootNow()), 1);
}

// Guards against a crash that is not counted because the connection ended in order inside the KV handle of a prefill.
TEST_F(stream_forward, counts_a_crash_that_cuts_a_prefill_answer_in_order)
{
    scripted_server crashing(loop, [&](const http_request &request, int) {
        crashing.stop();
        return scripted_answer{.bytes = unframedAnswer(request, 200, R"({"kv-handle":"h1","tok)"), .close = true};
    });
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: 1\r\n")};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", crashing.address(), endpoint_role::Prefill);
    addEndpoint("e2", "engines", decodeEngine.address(), endpoint_role::Decode);
    EXPECT_EQ(call(generationWith("a1:16900,b2:100", 17000)).status, 503);
    pause(std::chrono::milliseconds(100));
    ASSERT_EQ(decodeEngine.requests.size(), 1U);
    EXPECT_EQ(decodeEngine.requests[0]["X-Kv-Source"], "");
    EXPECT_EQ(context->suspects.crashes(suspect_requests::partKey(0xa1), bootNow()), 1);
}

// Guards against a prefill answer or an engine's error that ends with its connection being refused.
TEST_F(stream_forward, takes_plain_answers_that_end_with_their_connection)
{
    scripted_server prefillEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = unframedAnswer(request, 200, R"({"kv-handle":"h1"})"), .close = true};
    });
    scripted_server decodeEngine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = unframedAnswer(request, 400, "bad prompt"), .close = true};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", prefillEngine.address(), endpoint_role::Prefill);
    addEndpoint("e2", "engines", decodeEngine.address(), endpoint_role::Decode);
    const auto result = call(generation(17000));
    EXPECT_EQ(result.status, 400);
    EXPECT_EQ(result.body, "bad prompt");
    ASSERT_EQ(decodeEngine.requests.size(), 1U);
    EXPECT_EQ(decodeEngine.requests[0]["X-Kv-Source"], prefillEngine.address() + "/h1");
}

// Guards against sound prompts being refused for a shared part although a stream with that part ended well since its crashes.
TEST_F(stream_forward, a_whole_stream_clears_the_parts_of_its_prompt)
{
    scripted_server engine(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", engine.address(), endpoint_role::Decode);
    const auto crash = [&](std::uint64_t process, std::chrono::milliseconds age) {
        context->suspects.recordCrash(suspect_requests::partKey(0xa1), process, bootNow() - age);
    };
    crash(1, std::chrono::milliseconds(900));
    crash(2, std::chrono::milliseconds(600));
    EXPECT_TRUE(call(generationWith("a1:200,b2:100")).whole);
    crash(3, std::chrono::milliseconds(0));
    pause(std::chrono::milliseconds(500));
    EXPECT_TRUE(call(generationWith("a1:200,c3:100")).whole);
    EXPECT_EQ(context->suspects.crashes(suspect_requests::partKey(0xa1), bootNow()), 0);
}

TEST_F(stream_forward, an_error_of_the_next_engine_does_not_enter_a_stream_that_has_begun)
{
    const auto chunked = [](std::string_view text) {
        return [text = std::string(text)](const http_request &request) {
            return streamHead(request) + chunk(text) + "0\r\n\r\n";
        };
    };
    const std::vector<std::function<std::string(const http_request &)>> answers = {
        [](const http_request &request) {
            return wholeAnswer(request, 500, "id: 9\ndata: error\n\n");
        },
        [](const http_request &request) {
            return wholeAnswer(request, 200, "{\"error\": \"overloaded\"}\n\n", "Content-Type: application/json\r\n");
        },
        [](const http_request &request) {
            return unframedAnswer(request, 200, "id: 9\ndata: error\n\n", "Content-Type: text/plain\r\n");
        },
        chunked("error: overloaded\n\n"),
        chunked("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n\r\nfull"),
        chunked("error: overloaded\n\n" + event(2)),
        [](const http_request &request) {
            return wholeAnswer(request, 200, "");
        },
    };
    for (std::size_t i = 0; i < answers.size(); ++i) {
        int calls = 0;
        const auto script = [&](const http_request &request, int) {
            if (++calls == 1) {
                return scripted_answer{.bytes = streamHead(request) + chunk(event(1)), .close = true};
            }
            return scripted_answer{.bytes = answers[i](request), .close = true};
        };
        scripted_server first(loop, script);
        scripted_server second(loop, script);
        configure({streamRoute(true)});
        addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
        addEndpoint("e2", "engines", second.address(), endpoint_role::Decode);
        const auto result = call(generation());
        EXPECT_EQ(result.body, event(1)) << i;
        EXPECT_FALSE(result.whole) << i;
        EXPECT_EQ(first.requests.size(), 1U) << i;
        EXPECT_EQ(second.requests.size(), 1U) << i;
        context->endpoints.remove("e1", bootNow());
        context->endpoints.remove("e2", bootNow());
    }
}

TEST_F(stream_forward, a_stream_that_is_cut_in_its_head_is_no_answer)
{
    std::size_t cut = 0;
    scripted_server engine(loop, [&](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request).substr(0, cut), .close = true};
    });
    configure({streamRoute(false)});
    addEndpoint("e1", "engines", engine.address(), endpoint_role::Decode);
    http_request sample;
    sample.set("X-Request-Id", "r1");
    for (cut = 0; cut <= streamHead(sample).size(); ++cut) {
        EXPECT_EQ(call(generation()).status, 502) << cut;
    }
}

TEST_F(stream_forward, prefills_and_streams_both_count_against_the_limits_of_their_engines)
{
    const auto prefill = [](const std::string &fields) {
        return [fields](const http_request &request, int) {
            return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"kv-handle":"h1"})", fields)};
        };
    };
    const auto decode = [](const std::string &fields) {
        return [fields](const http_request &request, int) {
            auto head = streamHead(request);
            head.insert(head.size() - 2, fields);
            return scripted_answer{.bytes = head + chunk(event(1)) + "0\r\n\r\n"};
        };
    };
    const std::string limit = "Server-Limit: 9\r\n";
    scripted_server limitedPrefill(loop, prefill(limit));
    scripted_server freePrefill(loop, prefill(""));
    scripted_server limitedDecode(loop, decode(limit));
    scripted_server freeDecode(loop, decode(""));
    configure({streamRoute(false)});
    for (const auto *id : {"daemon-1", "daemon-2", "daemon-3"}) {
        context->members[id] = {};
    }
    addEndpoint("e1", "engines", limitedPrefill.address(), endpoint_role::Prefill);
    addEndpoint("e2", "engines", freePrefill.address(), endpoint_role::Prefill);
    addEndpoint("e3", "engines", limitedDecode.address(), endpoint_role::Decode);
    addEndpoint("e4", "engines", freeDecode.address(), endpoint_role::Decode);
    int calls = 0;
    for (const instant end = bootNow() + std::chrono::seconds(2); bootNow() < end; ++calls) {
        EXPECT_TRUE(call(generation(17000)).whole);
    }
    // A third of 9 a second for 2 s and half as much again, and the first one, before the limit was known.
    EXPECT_LE(limitedPrefill.requests.size(), 10U);
    EXPECT_LE(limitedDecode.requests.size(), 10U);
    EXPECT_GE(calls, 30);
}

namespace
{

/// A prompt is prefilled at one engine and refused at the other, so that the handle of its KV cache is freed.
class freed_handle_test : public stream_forward
{
protected:
    freed_handle_test()
        : prefillEngine(loop,
                        [this](const http_request &request, int number) {
                            return scripted_answer{.bytes = number == 1 ? wholeAnswer(request, 200, R"({"kv-handle":"h1"})", prefillFields)
                                                                        : wholeAnswer(request, 200, "{}", freeFields)};
                        })
        , decodeEngine(loop, [this](const http_request &request, int) {
            beforeRefusal();
            return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: 1\r\n")};
        })
    {
        configure({streamRoute(false)});
        addEndpoint("e1", "engines", prefillEngine.address(), endpoint_role::Prefill);
        addEndpoint("e2", "engines", decodeEngine.address(), endpoint_role::Decode);
    }

    endpoint_state &prefillState()
    {
        return *context->endpoints.find("e1");
    }

    std::string prefillFields;
    std::string freeFields;
    std::function<void()> beforeRefusal = [] {
    };
    scripted_server prefillEngine;
    scripted_server decodeEngine;
};

}

TEST_F(freed_handle_test, an_engine_that_asked_for_a_pause_gets_no_call)
{
    beforeRefusal = [this] {
        prefillState().pausedUntil = bootNow() + std::chrono::seconds(5);
    };
    EXPECT_EQ(call(generation(17000)).status, 503);
    pause(std::chrono::milliseconds(200));
    EXPECT_EQ(prefillEngine.requests.size(), 1U);
}

TEST_F(freed_handle_test, the_answer_tells_of_a_leaving_engine)
{
    freeFields = "Server-Leaving: 1\r\n";
    EXPECT_EQ(call(generation(17000)).status, 503);
    EXPECT_TRUE(runUntil(
        [this] {
            return !prefillState().usable(bootNow());
        },
        std::chrono::seconds(1)));
}

// Guards against a limit that is forgotten because the answers to calls of our own do not repeat it.
TEST_F(freed_handle_test, the_answer_does_not_end_a_limit)
{
    prefillFields = "Server-Limit: 9\r\n";
    EXPECT_EQ(call(generation(17000)).status, 503);
    pause(std::chrono::milliseconds(200));
    EXPECT_EQ(prefillEngine.requests.size(), 2U);
    EXPECT_TRUE(prefillState().limit);
}

namespace
{

constexpr auto silence = std::chrono::milliseconds(1600);
constexpr auto silenceAtFirst = std::chrono::milliseconds(2400); // The first event may be awaited for 1.5 s and twice its predicted time.

/// An engine that falls silent after its first event, or before it, and goes on.
scripted_server::script makeSilentEngine(int eventsBefore)
{
    return [eventsBefore](const http_request &request, int) {
        std::string before = eventsBefore > 0 ? streamHead(request) + chunk(event(1)) : std::string();
        std::string after = eventsBefore > 0 ? std::string() : streamHead(request) + chunk(event(1));
        return scripted_answer{
            .bytes = std::move(before), .rest = std::move(after) + chunk(event(2)) + "0\r\n\r\n", .pause = eventsBefore > 0 ? silence : silenceAtFirst};
    };
}

scripted_server::script makeFullEngine()
{
    return [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: true\r\n")};
    };
}

}

TEST_F(stream_forward, a_silent_engine_keeps_its_stream_when_there_is_no_other)
{
    scripted_server engine(loop, makeSilentEngine(1));
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", engine.address(), endpoint_role::Decode);
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
}

TEST_F(stream_forward, a_silent_engine_keeps_its_stream_when_the_other_is_full)
{
    scripted_server silent(loop, makeSilentEngine(1));
    scripted_server full(loop, makeFullEngine());
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", silent.address(), endpoint_role::Decode);
    context->endpoints.update(
        {.id = "e2", .service = "engines", .address = full.address(), .failureDomain = "domain-b", .slots = 4, .role = endpoint_role::Decode});
    const auto result = call(generation(), std::chrono::seconds(4));
    ASSERT_EQ(silent.requests.size(), 1U);
    ASSERT_EQ(full.requests.size(), 1U);
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
}

TEST_F(stream_forward, a_silent_engine_keeps_its_stream_when_the_retry_budget_is_used_up)
{
    settings.retries = {.ratio = 0, .slack = 0, .window = std::chrono::seconds(10)};
    context->retryBudget = retry_budget(settings.retries);
    scripted_server silent(loop, makeSilentEngine(1));
    scripted_server other(loop, makeSilentEngine(1));
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", silent.address(), endpoint_role::Decode);
    addEndpoint("e2", "engines", other.address(), endpoint_role::Decode);
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(silent.requests.size() + other.requests.size(), 1U);
}

TEST_F(stream_forward, a_request_is_not_failed_because_its_engine_is_silent_before_the_first_event)
{
    scripted_server silent(loop, makeSilentEngine(0));
    scripted_server full(loop, makeFullEngine());
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", silent.address(), endpoint_role::Decode);
    context->endpoints.update(
        {.id = "e2", .service = "engines", .address = full.address(), .failureDomain = "domain-b", .slots = 4, .role = endpoint_role::Decode});
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_EQ(result.status, 200);
    EXPECT_TRUE(result.whole);
}

// The first engine must stop when the second one has begun, and no event may be missing or come twice.
TEST_F(stream_forward, another_engine_takes_the_stream_of_a_silent_one)
{
    int calls = 0;
    const auto script = [&calls](const http_request &request, int) {
        if (++calls == 1) {
            return scripted_answer{.bytes = streamHead(request, "first") + chunk(event(1) + "id: 2\nda"), .silent = true};
        }
        return scripted_answer{.bytes = streamHead(request, "second") + chunk(event(1) + event(2) + event(3)) + "0\r\n\r\n"};
    };
    auto &[first, second] = startPair(script);
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2) + event(3));
    EXPECT_EQ(result.head["X-Response-Seal"], "first");
    EXPECT_EQ(first.closedByPeer + second.closedByPeer, 1);
    EXPECT_LT(result.ms, 1500);
}

// Guards against a stream that joins two runs: the first engine goes on and the second one answers while this process does not run.
TEST_F(stream_forward, a_pause_of_this_process_joins_no_two_runs)
{
    const auto piece = [](int id, std::string_view data) {
        return chunk(absl::StrCat("id: ", id, "\ndata: ", std::string(data), "\n\n"));
    };
    asio::io_context engineLoop;
    std::atomic<int> calls = 0;
    const auto script = [&](const http_request &request, int) {
        if (++calls == 1) {
            return scripted_answer{.bytes = streamHead(request) + piece(1, "1"), .rest = piece(3, "2a,3a") + piece(5, "4a,5a"), .pause = 1150ms};
        }
        return scripted_answer{.bytes = streamHead(request) + piece(2, "2b") + piece(4, "3b,4b") + piece(6, "5b,6b") + "0\r\n\r\n", .delay = 200ms};
    };
    scripted_server first(engineLoop, script);
    scripted_server second(engineLoop, script);
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", first.address(), endpoint_role::Decode);
    addEndpoint("e2", "engines", second.address(), endpoint_role::Decode);
    std::thread engineThread([&engineLoop] {
        engineLoop.run();
    });
    caller_result result;
    bool done = false;
    startCall(generation(), result, done);
    runUntil(
        [&] {
            return calls == 2;
        },
        3s);
    std::this_thread::sleep_for(280ms); // Shorter than the time after which the first engine is left in any case.
    runUntil(
        [&] {
            return done;
        },
        3s);
    engineLoop.stop();
    engineThread.join();
    EXPECT_EQ(calls, 2);
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, "id: 1\ndata: 1\n\nid: 2\ndata: 2b\n\nid: 4\ndata: 3b,4b\n\nid: 6\ndata: 5b,6b\n\n");
}

// The second engine begins later than the first one goes on.
TEST_F(stream_forward, a_stream_that_goes_on_is_not_taken_over)
{
    int calls = 0;
    const auto script = [&calls](const http_request &request, int) {
        if (++calls == 1) {
            return scripted_answer{
                .bytes = streamHead(request, "first") + chunk(event(1)), .rest = chunk(event(2)) + "0\r\n\r\n", .pause = std::chrono::milliseconds(1200)};
        }
        return scripted_answer{.bytes = streamHead(request, "second") + chunk(event(2)) + "0\r\n\r\n", .delay = std::chrono::milliseconds(600)};
    };
    auto &[first, second] = startPair(script);
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
    EXPECT_EQ(first.requests.size() + second.requests.size(), 2U);
    EXPECT_LT(result.ms, 1600);
}

// The first engine breaks off while the second one is asked.
TEST_F(stream_forward, a_stream_that_breaks_while_it_is_taken_over_goes_on)
{
    int calls = 0;
    const auto script = [&calls](const http_request &request, int) {
        if (++calls == 1) {
            return scripted_answer{
                .bytes = streamHead(request, "first") + chunk(event(1)), .close = true, .rest = "x", .pause = std::chrono::milliseconds(1200)};
        }
        return scripted_answer{.bytes = streamHead(request, "second") + chunk(event(2)) + "0\r\n\r\n", .delay = std::chrono::milliseconds(600)};
    };
    auto &[first, second] = startPair(script);
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
    EXPECT_EQ(first.requests.size() + second.requests.size(), 2U);
}

TEST_F(stream_forward, a_caller_that_leaves_a_silent_stream_leaves_both_engines)
{
    int calls = 0;
    const auto script = [&calls](const http_request &request, int) {
        return scripted_answer{.bytes = ++calls == 1 ? streamHead(request) + chunk(event(1)) : std::string(), .silent = true};
    };
    auto &[first, second] = startPair(script);
    tcp::socket caller(loop);
    caller.connect(callers);
    asio::write(caller, asio::buffer(generation()));
    ASSERT_TRUE(runUntil(
        [&] {
            return first.requests.size() + second.requests.size() == 2;
        },
        std::chrono::seconds(2)));
    caller.close();
    EXPECT_TRUE(runUntil(
        [&] {
            return first.closedByPeer + second.closedByPeer == 2;
        },
        std::chrono::milliseconds(400)));
}

// Guards against two engines that work on one stream until the second one answers.
TEST_F(stream_forward, a_silent_engine_is_left_soon_after_another_has_accepted_its_stream)
{
    std::vector<instant> askedAt;
    const auto script = [&askedAt](const http_request &request, int) {
        askedAt.push_back(bootNow());
        if (askedAt.size() == 1) {
            return scripted_answer{.bytes = streamHead(request) + chunk(event(1)), .silent = true};
        }
        return scripted_answer{.bytes = streamHead(request) + chunk(event(2)) + "0\r\n\r\n", .delay = std::chrono::milliseconds(900)};
    };
    auto &[first, second] = startPair(script);
    caller_result result;
    bool done = false;
    startCall(generation(), result, done);
    ASSERT_TRUE(runUntil(
        [&] {
            return first.closedByPeer + second.closedByPeer == 1;
        },
        std::chrono::seconds(3)));
    ASSERT_EQ(askedAt.size(), 2U);
    EXPECT_LT(toMs(bootNow() - askedAt[1]), 400);
    EXPECT_TRUE(runUntil(
        [&] {
            return done;
        },
        std::chrono::seconds(3)));
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
}

// Guards against a stream that ends because its sound engine was silent for a second and the engine that took it over refused it late.
TEST_F(stream_forward, a_silent_engine_gets_its_stream_back_when_the_other_refuses_it_late)
{
    scripted_server silent(loop, [](const http_request &request, int number) {
        if (number == 1) {
            return scripted_answer{.bytes = streamHead(request) + chunk(event(1)), .silent = true};
        }
        return scripted_answer{.bytes = streamHead(request) + chunk(event(2)) + "0\r\n\r\n"};
    });
    scripted_server other(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: true\r\n"), .delay = 600ms};
    });
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", silent.address(), endpoint_role::Decode);
    context->endpoints.update(
        {.id = "e2", .service = "engines", .address = other.address(), .failureDomain = "domain-b", .slots = 4, .role = endpoint_role::Decode});
    const auto result = call(generation(), 4s);
    EXPECT_TRUE(result.whole);
    EXPECT_EQ(result.body, event(1) + event(2));
    ASSERT_EQ(silent.requests.size(), 2U);
    EXPECT_EQ(silent.requests[1]["Last-Event-Id"], "1");
    EXPECT_EQ(other.requests.size(), 1U);
}

// Guards against the same when the other engine breaks off, and against a silent engine that is asked without end.
TEST_F(stream_forward, a_silent_engine_gets_its_stream_back_once)
{
    scripted_server silent(loop, [](const http_request &request, int number) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(number == 1 ? 1 : 3)), .close = number > 1, .silent = number == 1};
    });
    scripted_server other(loop, [](const http_request &request, int) {
        return scripted_answer{.bytes = streamHead(request) + chunk(event(2)), .close = true};
    });
    configure({streamRoute(true)});
    addEndpoint("e1", "engines", silent.address(), endpoint_role::Decode);
    context->endpoints.update(
        {.id = "e2", .service = "engines", .address = other.address(), .failureDomain = "domain-b", .slots = 4, .role = endpoint_role::Decode});
    const auto result = call(generation(), 4s);
    EXPECT_FALSE(result.whole) << "both engines broke it off";
    EXPECT_EQ(result.body, event(1) + event(2) + event(3));
    EXPECT_EQ(silent.requests.size(), 2U);
    EXPECT_EQ(other.requests.size(), 1U);
}

// Guards against "not run" for a request that the second engine may have run before its connection broke.
TEST_F(stream_forward, a_refusal_of_the_silent_engine_does_not_vouch_for_the_other)
{
    int calls = 0;
    const auto script = [&calls](const http_request &request, int) {
        if (++calls == 1) {
            return scripted_answer{.bytes = wholeAnswer(request, 503, "full", "X-Not-Executed: true\r\n"), .delay = std::chrono::milliseconds(2500)};
        }
        return scripted_answer{.reset = true};
    };
    startPair(script);
    const auto result = call(generation(), std::chrono::seconds(4));
    EXPECT_EQ(calls, 2);
    EXPECT_EQ(result.status, 502);
}

}
