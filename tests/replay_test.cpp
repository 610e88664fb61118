#include "coordination/replay.h"

#include "coordination/address_planner.h"
#include "coordination/admission.h"
#include "coordination/provision_planner.h"
#include "coordination/role_planner.h"
#include "coordination/routing.h"
#include "protocol/decision_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lacewinglock
{

namespace
{

std::string logLine(const decision_record &record)
{
    const nlohmann::json line = {{"decision", record.id},
                                 {"kind", record.kind},
                                 {"request", record.requestId},
                                 {"config_version", record.configVersion},
                                 {"input", nlohmann::json::parse(record.input)},
                                 {"result", nlohmann::json::parse(record.result)}};
    return line.dump() + "\n";
}

route_input sampleRoute()
{
    return {.requestId = "r1",
            .configVersion = 7,
            .organisation = "o1",
            .promptTokens = 1234.5,
            .maxOutputTokens = 100,
            .seed = 0xffffffffffffffffU,
            .endpoints = {{.id = "a", .reportAgeMs = 333.3}, {.id = "b", .role = endpoint_role::Decode, .leaving = true}},
            .kvTransfer = true,
            .policy = cost_routing{.useCache = false}};
}

/// One decision of each kind.
std::string sampleLog()
{
    const auto route = sampleRoute();
    const admit_input admit{.requestId = "r1", .configVersion = 7, .limits = {.tokensPerSecond = 1}, .promptTokens = 5, .remainingMs = 0.1};
    const queue_order_input order{.waiting = {{.id = "r1", .organisation = "o1"}}, .policy = first_come_admission{}};
    const role_input role{.endpoints = {{.id = "a"}}, .policy = fixed_roles{}};
    const provision_input provision{.limits = {.minEndpoints = 2, .maxEndpoints = 4}, .domains = {{.failureDomain = "fd1"}}};
    const address_input address{.organisation = "o1", .daemons = {{.instanceId = "d1", .address = "127.0.0.1:1"}}};
    return logLine(recordRoute("1", route, decideRoute(route))) + logLine(recordAdmit("2", admit, decideAdmission(admit)))
        + logLine(recordOrder("3", order, orderWaiting(order))) + logLine(recordRole("4", role, decideRole(role)))
        + logLine(recordProvision("5", provision, decideProvision(provision))) + logLine(recordAddress("6", address, decideAddresses(address)));
}

template <typename Value>
void expectRoundTrip(const Value &value)
{
    const auto text = encodeDecision(value).dump();
    const auto parsed = parseDecision<Value>(nlohmann::json::parse(text));
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(encodeDecision(*parsed).dump(), text);
}

}

// Guards against fields that the codec loses or changes; replay would not detect these if the result stays the same.
TEST(decision_codec, round_trip)
{
    const auto input = sampleRoute();
    expectRoundTrip(input);
    const auto parsed = parseDecision<route_input>(encodeDecision(input));
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(parsed->seed, input.seed);
    EXPECT_EQ(parsed->endpoints[0].reportAgeMs, 333.3);
    EXPECT_EQ(parsed->endpoints[1].role, endpoint_role::Decode);
    EXPECT_FALSE(std::get<cost_routing>(parsed->policy).useCache);
    expectRoundTrip(decideRoute(input));
    expectRoundTrip(admit_input{.organisation = "o1", .limits = {.burstTokens = 3}, .policy = first_come_admission{}});
    expectRoundTrip(admit_result{.verdict = admit_verdict::Wait, .retryAfterMs = 0.1});
    expectRoundTrip(queue_order_input{.waiting = {{.id = "r1"}}, .served = {{.organisation = "o1", .servedPerWeight = 2}}});
    expectRoundTrip(role_input{.shortDemand = {.promptTokensPerSecond = 1}, .endpoints = {{.id = "a"}}, .policy = follow_mix_roles{}});
    expectRoundTrip(role_result{.role = endpoint_role::Prefill, .candidates = {{.endpoint = "a"}}});
    expectRoundTrip(provision_input{.endpoints = {{.id = "a"}}, .pending = {{.count = 2}}, .policy = ordinary_only_provision{}});
    expectRoundTrip(provision_result{.steps = {{.count = -1, .release = {"a"}}}});
    expectRoundTrip(address_input{.daemons = {{.instanceId = "d", .load = 0.3}}});
    expectRoundTrip(address_result{.addresses = {"127.0.0.1:1"}});
}

// Guards against parsing a corrupt log line as a decision with default values.
TEST(decision_codec, rejects_wrong_types_and_unknown_policies)
{
    EXPECT_FALSE(parseDecision<route_input>(nlohmann::json::parse(R"({"promptTokens": "many"})")).ok());
    EXPECT_FALSE(parseDecision<route_input>(nlohmann::json::parse(R"({"policy": {"policy": "unheard of"}})")).ok());
    EXPECT_FALSE(parseDecision<route_input>(nlohmann::json::parse("[]")).ok());
}

// Guards against a decision that depends on more than its recorded input.
TEST(replay, repeats_every_kind_of_decision)
{
    std::istringstream log(sampleLog() + "{\"severity\":\"info\"}\n");
    std::ostringstream out;
    EXPECT_TRUE(replayLog(log, out).ok());
    EXPECT_EQ(out.str(),
              "address: 1 decisions repeated with the same result\nadmit: 1 decisions repeated with the same result\n"
              "order: 1 decisions repeated with the same result\nprovision: 1 decisions repeated with the same result\n"
              "role: 1 decisions repeated with the same result\nroute: 1 decisions repeated with the same result\n");
}

// Guards against a replay that reports success although a result in any one line was altered.
TEST(replay, finds_a_changed_line)
{
    std::vector<std::string> lines;
    std::istringstream text(sampleLog());
    for (std::string line; std::getline(text, line);) {
        lines.push_back(line);
    }
    for (std::size_t changed = 0; changed < lines.size(); ++changed) {
        std::string all;
        for (std::size_t index = 0; index < lines.size(); ++index) {
            auto line = nlohmann::json::parse(lines[index]);
            if (index == changed) {
                line["result"]["reason"] = "altered";
            }
            all += line.dump() + "\n";
        }
        std::istringstream log(all);
        std::ostringstream out;
        const auto status = replayLog(log, out);
        EXPECT_EQ(status.code(), absl::StatusCode::kDataLoss);
        EXPECT_NE(std::string(status.message()).find("line " + std::to_string(changed + 1)), std::string::npos) << status;
    }
}

// Guards against accepting a truncated log.
TEST(replay, fails_on_a_damaged_line)
{
    std::istringstream log(sampleLog() + "{\"decision\":");
    std::ostringstream out;
    EXPECT_FALSE(replayLog(log, out).ok());
}

// Guards against explanations that omit a decision of the request or include those of other requests.
TEST(replay, explains_one_request)
{
    std::istringstream log(sampleLog());
    std::ostringstream out;
    ASSERT_TRUE(explainRequest(log, "r1", out).ok());
    EXPECT_NE(out.str().find("endpoint: a (lowest predicted cost)"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("b: cost 0 ms, leaving"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("verdict: refuse"), std::string::npos) << out.str();
    EXPECT_EQ(out.str().find("provision"), std::string::npos);
    std::istringstream again(sampleLog());
    EXPECT_FALSE(explainRequest(again, "r2", out).ok());
}

}
