#include "edge_fixture.h"

#include "protocol/relayed_feed.h"
#include "serving/history_record.h"
#include "serving/table_follower.h"
#include "transport/spawn.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

using nlohmann::json;

const row_parsers parsers = platform::makeRowParsers();

json validServer()
{
    return {{"service", "s"},
            {"address", "10.0.0.1:80"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 6},
            {"state", "ready"},
            {"cold-remaining-ms", 0},
            {"sequence", 3},
            {"born", 1777}};
}

json validConfiguration()
{
    return {
        {"version", 7},
        {"routes",
         {{{"name", "r1"},
           {"hostname", "h"},
           {"path-prefix", "/a/"},
           {"route-type", "streaming"},
           {"timeout-ms", 8000},
           {"target-latency-ms", 600},
           {"priority", 1},
           {"weighted-services", {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}}},
           {"max-attempts", 2},
           {"auth-exempt", false},
           {"session-affinity", true},
           {"resumable", true},
           {"target-gap-ms", 200}}}},
        {"services",
         {{{"name", "s"},
           {"health-path", "/healthz"},
           {"max-connections", 370},
           {"engine", {{"slots", 64}, {"kv-tokens", 502633}, {"kv-token-bytes", 18432}, {"link-mbps", 170000.0}, {"handle-ttl-s", 5.0}}},
           {"scaling", {{"min", 1}, {"max", 6}, {"boot-s", 4.0}, {"spot-price", 0.22}, {"zone-prices", {{"a", 0.85}}}}}}}},
        {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
        {"tenants", {{{"name", "o"}, {"api-keys", {"k1", "k2"}}, {"priority", 1}}}},
    };
}

class platform_store_test : public edge_fixture
{
protected:
    template <typename Result>
    Result await(task<Result> work, std::chrono::milliseconds limit = std::chrono::seconds(4))
    {
        std::optional<Result> result;
        asio::co_spawn(
            loop,
            [](task<Result> inner, std::optional<Result> &out) -> task<void> {
                out = co_await std::move(inner);
            }(std::move(work), result),
            asio::detached);
        runUntil(
            [&] {
                return result.has_value();
            },
            limit);
        return std::move(*result);
    }

    static std::string body(const json &document, int status = 200)
    {
        const std::string text = document.dump();
        return absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: ", text.size(), "\r\n\r\n", text);
    }

    static json storedRow(const std::string &key, const std::string &value, int version)
    {
        return {{"table", "t"}, {"part", ""}, {"key", key}, {"value", absl::Base64Escape(value)}, {"ver", version}};
    }
};

}

// Guards against malformed rows of other writers: one must neither become an endpoint nor make the valid rows fail.
TEST(server_rows, accepts_only_valid_entries)
{
    const auto valid = parsers.endpoint("i-1", validServer().dump());
    ASSERT_TRUE(valid.ok());
    EXPECT_EQ(valid->id, "i-1");
    EXPECT_EQ(valid->startedMs, 1777);
    EXPECT_FALSE(valid->draining);
    EXPECT_FALSE(valid->role);
    for (const auto *name : {"service", "address", "zone", "slots", "state"}) {
        auto broken = validServer();
        broken.erase(name);
        EXPECT_FALSE(parsers.endpoint("i-1", broken.dump()).ok()) << name;
        broken[name] = json::array();
        EXPECT_FALSE(parsers.endpoint("i-1", broken.dump()).ok()) << name;
    }
    auto unknownState = validServer();
    unknownState["state"] = "resting";
    EXPECT_FALSE(parsers.endpoint("i-1", unknownState.dump()).ok());
    EXPECT_FALSE(parsers.endpoint("i-1", "\xff\xfe garbage").ok());
    auto engine = validServer();
    engine["stage"] = "prefill";
    engine["spot"] = true;
    engine["state"] = "draining";
    const auto parsed = parsers.endpoint("i-1", engine.dump());
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(parsed->role, endpoint_role::Prefill);
    EXPECT_TRUE(parsed->reclaimable);
    EXPECT_TRUE(parsed->draining);
}

// Guards against a value that is cut to a smaller type, and against an entry that is deeply nested or has an address that no endpoint can have.
TEST(server_rows, rejects_values_outside_their_bounds)
{
    const auto errorWith = [](const char *field, const json &value) {
        auto odd = validServer();
        odd[field] = value;
        return std::string(parsers.endpoint("i-1", odd.dump()).status().message());
    };
    for (const json &value : {json(1'000'001), json(4'294'967'295U), json(4'294'967'297U), json(std::numeric_limits<std::uint64_t>::max()), json(1e300)}) {
        EXPECT_NE(errorWith("slots", value).find("\"slots\""), std::string::npos) << value;
    }
    for (const json &value : {json(4'102'444'800'001), json(std::uint64_t{1} << 63U), json(std::numeric_limits<std::uint64_t>::max()), json(1e300)}) {
        EXPECT_NE(errorWith("born", value).find("\"born\""), std::string::npos) << value;
    }
    EXPECT_NE(errorWith("slots", 4'294'967'297U).find("1000000"), std::string::npos);
    const std::vector<std::string> addresses{
        "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:4294967376", "10.0.0.1:99999999999999999999", "10.0.0.1:"};
    for (const auto &address : addresses) {
        EXPECT_FALSE(errorWith("address", address).empty()) << address;
    }
    EXPECT_FALSE(errorWith("address", std::string("10.0.0.1\0x:80", 13)).empty());
    EXPECT_FALSE(errorWith("address", "10.0.0.1:" + std::string(70'000, '0') + "80").empty());
    for (const auto &key : {std::string(), std::string("i-1\r\nX-Api-Key: k"), std::string("i\0", 2), std::string("i-\xc3\xa9"), std::string(70'000, 'i')}) {
        EXPECT_FALSE(parsers.endpoint(key, validServer().dump()).ok()) << key.substr(0, 20);
    }
    const std::string nested = std::string(60'000, '[') + std::string(60'000, ']');
    EXPECT_FALSE(parsers.endpoint("i-1", nested).ok());
    EXPECT_FALSE(parsers.endpoint("i-1", std::string(60'000, '[')).ok());
    EXPECT_FALSE(parsers.endpoint("i-1", R"({"slots":)" + nested + "}").ok());
    EXPECT_FALSE(parsers.endpoint("i-1", R"({"slots":1e400})").ok());
    auto greatest = validServer();
    greatest["slots"] = 1'000'000;
    greatest["born"] = 4'102'444'800'000;
    EXPECT_TRUE(parsers.endpoint("i-1", greatest.dump()).ok());
}

// Guards against a notice that is read from a malformed header field.
TEST(endpoint_notice, only_well_formed_values_count)
{
    const auto parse = [](http::status status, std::string_view name, std::string_view value) {
        http::response_header<> head;
        head.result(status);
        head.set(fromView(name), fromView(value));
        return platform::makeWire().parseNotice(head);
    };
    EXPECT_EQ(parse(http::status::ok, "Server-Limit", "3.5").limit, 3.5);
    EXPECT_EQ(parse(http::status::ok, "Server-Limit", "0").limit, 0);
    for (const auto *malformed : {"", "-1", "nan", "inf", "1 2", "2/s", "1e999"}) {
        EXPECT_FALSE(parse(http::status::ok, "Server-Limit", malformed).limit) << malformed;
        EXPECT_FALSE(parse(http::status::service_unavailable, "Retry-After", malformed).pause) << malformed;
    }
    EXPECT_TRUE(parse(http::status::ok, "Server-Leaving", "1").leaving);
    EXPECT_FALSE(parse(http::status::ok, "Server-Leaving", "0").leaving);
    EXPECT_EQ(parse(http::status::service_unavailable, "Retry-After", "1.5").pause, std::chrono::milliseconds(1500));
    EXPECT_EQ(parse(http::status::service_unavailable, "Retry-After", "1e9").pause, std::chrono::hours(1));
    EXPECT_FALSE(parse(http::status::ok, "Retry-After", "1").pause);
}

// Guards against a configuration field that is stored in the wrong place or ignored.
TEST(configuration_row, decodes_every_field)
{
    const auto parsed = parsers.configuration(validConfiguration().dump());
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(parsed->version, 7U);
    ASSERT_EQ(parsed->routes.size(), 1U);
    const auto &route = parsed->routes[0];
    EXPECT_TRUE(route.stream);
    EXPECT_TRUE(route.resumable);
    EXPECT_TRUE(route.repeatable);
    EXPECT_TRUE(route.generation);
    EXPECT_EQ(route.maxAttempts, 2);
    EXPECT_EQ(toMs(route.target), 600);
    EXPECT_EQ(toMs(route.eventGapTarget), 200);
    ASSERT_EQ(route.services.size(), 2U);
    EXPECT_EQ(route.services[1].service, "t");
    const auto &service = parsed->services.at("s");
    ASSERT_TRUE(service.engine);
    EXPECT_EQ(service.engine->slots, 64);
    ASSERT_TRUE(service.scaling);
    EXPECT_DOUBLE_EQ(service.scaling->reclaimablePriceRatio, 0.22);
    EXPECT_TRUE(parsed->needsKeys);
    EXPECT_EQ(parsed->organisations[parsed->keys.at("k2")].name, "o");
    EXPECT_EQ(parsed->organisations[0].priority, 1);
    EXPECT_EQ(toMs(parsed->idleTimeout), 15000);
}

// Guards against a quota that is read with the wrong unit or default, and against an error that doesn't say whose quota is odd.
TEST(configuration_row, decodes_quotas_of_organisations)
{
    const auto quotaOf = [](const json &fields) {
        auto document = validConfiguration();
        document["tenants"][0].update(fields);
        const auto parsed = parsers.configuration(document.dump());
        EXPECT_TRUE(parsed.ok()) << parsed.status();
        return parsed->organisations[0].quota;
    };
    EXPECT_FALSE(quotaOf(json::object()));
    EXPECT_FALSE(quotaOf({{"rate-per-s", 0}, {"burst", 10}}));
    EXPECT_FALSE(quotaOf({{"rate-per-s", nullptr}}));
    EXPECT_EQ(quotaOf({{"unit", "tokens"}, {"uncached-tokens", 200}, {"rate-per-s", 448713}, {"burst", 300000}}),
              (quota_limits{.ratePerSecond = 448713, .burst = 300000, .unit = quota_unit::Tokens, .uncountedCost = 200}));
    EXPECT_EQ(quotaOf({{"rate-per-s", 2.5}}), (quota_limits{.ratePerSecond = 2.5, .burst = 2.5}));
    EXPECT_EQ(quotaOf({{"unit", "calls"}, {"rate-per-s", 5}, {"burst", 7}}), (quota_limits{.ratePerSecond = 5, .burst = 7}));
    auto odd = validConfiguration();
    odd["tenants"][0]["rate-per-s"] = -1;
    const auto parsed = parsers.configuration(odd.dump());
    EXPECT_NE(parsed.status().message().find("tenant \"o\""), absl::string_view::npos) << parsed.status();
}

// Guards against a configuration that is accepted in part, and against errors that don't name the wrong field.
TEST(configuration_row, error_names_the_wrong_field)
{
    auto broken = validConfiguration();
    broken["routes"][0]["timeout-ms"] = "soon";
    const auto parsed = parsers.configuration(broken.dump());
    ASSERT_FALSE(parsed.ok());
    EXPECT_NE(parsed.status().message().find("timeout-ms"), absl::string_view::npos);
    auto unknownType = validConfiguration();
    unknownType["routes"][0]["route-type"] = "odd";
    EXPECT_FALSE(parsers.configuration(unknownType.dump()).ok());
    EXPECT_FALSE(parsers.configuration("{").ok());
}

// Guards against a number that is cut to a smaller type or overflows a duration, such as a timeout that has passed before the request begins.
TEST(configuration_row, rejects_values_outside_their_bounds)
{
    const std::vector<std::pair<const char *, std::vector<json>>> odd{
        {"/version", {std::numeric_limits<std::uint64_t>::max()}},
        {"/routes/0/max-attempts", {4'294'967'296U}},
        {"/routes/0/priority", {2'147'483'648U}},
        {"/routes/0/timeout-ms", {1e300, -1}},
        {"/routes/0/target-latency-ms", {1e300, -1}},
        {"/routes/0/target-gap-ms", {1e300}},
        {"/routes/0/weighted-services/0/weight", {1e300, -1}},
        {"/services/0/max-connections", {4'294'967'296U}},
        {"/services/0/engine/slots", {4'294'967'295U}},
        {"/services/0/engine/kv-tokens", {1e300, -1}},
        {"/services/0/engine/link-mbps", {1e300, -1}},
        {"/services/0/engine/handle-ttl-s", {1e300, -1}},
        {"/services/0/scaling/min", {4'294'967'295U}},
        {"/services/0/scaling/max", {4'294'967'295U}},
        {"/services/0/scaling/boot-s", {1e300}},
        {"/services/0/scaling/spot-price", {1e300, -1}},
        {"/services/0/scaling/zone-prices/a", {1e300, -1}},
        {"/limits/max-header-bytes", {std::uint64_t{1} << 32U}},
        {"/limits/max-body-bytes", {std::numeric_limits<std::uint64_t>::max()}},
        {"/limits/header-timeout-ms", {1e300}},
        {"/limits/idle-timeout-ms", {1e300, -1}},
        {"/tenants/0/priority", {1e300, -1e300, 4'294'967'296U}},
        {"/tenants/0/rate-per-s", {1e300, -1, "many", json::array(), true}},
        {"/tenants/0/burst", {1e300, -1, "many"}},
        {"/tenants/0/uncached-tokens", {1e300, -1, "many"}},
        {"/tenants/0/unit", {1, false, json::object()}},
    };
    for (const auto &[path, values] : odd) {
        const json::json_pointer field(path);
        for (const auto &value : values) {
            auto document = validConfiguration();
            document[field] = value;
            const auto parsed = parsers.configuration(document.dump());
            EXPECT_FALSE(parsed.ok()) << path << " " << value;
            EXPECT_NE(parsed.status().message().find(absl::StrCat("\"", field.back(), "\"")), absl::string_view::npos) << parsed.status();
        }
    }
    EXPECT_FALSE(parsers.configuration(std::string(60'000, '[') + std::string(60'000, ']')).ok());
}

// Guards against an uncertain commit that is reported as committed or rejected: after a lost answer the outcome is unknown.
TEST_F(platform_store_test, distinguishes_definite_from_unknown_outcomes)
{
    int status = 200;
    storeScript = [&](const http_request &, int) {
        if (status == 0) {
            return scripted_answer{.reset = true};
        }
        return scripted_answer{.bytes = body({{"ver", 5}, {"now-ms", 1}}, status)};
    };
    const auto commit = [&] {
        transaction change{.conditions = {{.key = "k", .version = 4}}, .writes = {{.key = "k", .value = "v"}}};
        return await(context->platform.store.commit(std::move(change)));
    };
    EXPECT_EQ(commit(), commit_outcome::Committed);
    status = 412;
    EXPECT_EQ(commit(), commit_outcome::Conflict);
    status = 503;
    EXPECT_EQ(commit(), commit_outcome::Unavailable);
    status = 429;
    EXPECT_EQ(commit(), commit_outcome::Unavailable);
    status = 0;
    EXPECT_EQ(commit(), commit_outcome::Unknown);
    const auto sent = json::parse(store.requests[0].body());
    EXPECT_EQ(sent["expected"][0]["ver"], 4);
    EXPECT_EQ(sent["put"][0]["value"], absl::Base64Escape("v"));
}

// Guards against a feed call that hangs forever because the store accepted the request and never answers.
TEST_F(platform_store_test, times_out_on_a_silent_connection)
{
    storeScript = [](const http_request &, int) {
        return scripted_answer{.silent = true};
    };
    const instant before = bootNow();
    const auto answer = await(context->platform.store.changes(platform_table::Configuration, 1, std::chrono::milliseconds(200)));
    EXPECT_FALSE(answer.ok());
    EXPECT_LT(toMs(bootNow() - before), 1500);
}

// Guards against a follower that continues from a version whose history the store no longer has, and so misses changes.
TEST_F(platform_store_test, reports_that_the_history_is_gone)
{
    storeScript = [](const http_request &, int) {
        return scripted_answer{.bytes = body(json::object(), 410)};
    };
    const auto answer = await(context->platform.store.changes(platform_table::Endpoints, 1, std::chrono::milliseconds(100)));
    EXPECT_EQ(answer.status().code(), absl::StatusCode::kOutOfRange);
}

// Guards against versions that a restored store gives out again passing for those of the history before.
TEST_F(platform_store_test, a_restored_store_begins_another_history)
{
    int era = 1;
    int version = 9;
    storeScript = [&](const http_request &request, int) {
        return scripted_answer{.bytes = wholeAnswer(request,
                                                    200,
                                                    json{{"rows", {storedRow("a", "x", version)}}, {"has-more", false}, {"ver", version}}.dump(),
                                                    absl::StrCat("Store-Era: ", era, "\r\n"))};
    };
    const auto before = await(context->platform.store.readAll(platform_table::Endpoints));
    const auto rowBefore = await(context->platform.store.read("a"));
    ASSERT_TRUE(before.ok() && rowBefore.ok() && rowBefore->has_value());
    era = 2;
    version = 9;
    // The same version, of another history.
    EXPECT_EQ(await(context->platform.store.changes(platform_table::Endpoints, before->version, 50ms)).status().code(), absl::StatusCode::kOutOfRange);
    EXPECT_EQ(context->platform.store.history(), 2U);
    const auto sent = store.requests.size();
    const transaction change{.conditions = {{.key = "a", .version = (*rowBefore)->version}}, .writes = {{.key = "a", .value = "v"}}};
    EXPECT_EQ(await(context->platform.store.commit(change)), commit_outcome::Conflict);
    EXPECT_EQ(store.requests.size(), sent);
    version = 3;
    const auto after = await(context->platform.store.readAll(platform_table::Endpoints));
    ASSERT_TRUE(after.ok());
    EXPECT_GT(after->version, before->version);
    // A late answer of the history before.
    era = 1;
    EXPECT_FALSE(await(context->platform.store.changes(platform_table::Endpoints, after->version, 50ms)).ok());
    EXPECT_EQ(context->platform.store.history(), 2U);
}

// Guards against rows lost between the pages of a large table, and against a feed that continues later than the first page's version.
TEST_F(platform_store_test, reads_all_pages)
{
    storeScript = [](const http_request &request, int) {
        const bool second = toView(request.target()).find("from=") != std::string_view::npos;
        return scripted_answer{.bytes = body({{"rows", {storedRow(second ? "b" : "a", "x", 1)}}, {"has-more", !second}, {"ver", second ? 9 : 8}})};
    };
    const auto answer = await(context->platform.store.readAll(platform_table::Endpoints));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->rows.size(), 2U);
    EXPECT_EQ(answer->version, 8U);
}

// Guards against a page that is read again for ever because the store announces more rows and gives none, or the same ones.
TEST_F(platform_store_test, ends_when_a_page_gets_no_further)
{
    std::string page = R"({"ver":9,"now-ms":1,"has-more":true,"rows":[]})";
    storeScript = [&page](const http_request &request, int number) {
        EXPECT_LT(number, 10);
        return scripted_answer{.bytes = wholeAnswer(request, 200, page), .close = number >= 10};
    };
    EXPECT_EQ(await(context->platform.store.readAll(platform_table::Endpoints)).status().code(), absl::StatusCode::kDataLoss);
    page = R"({"ver":9,"now-ms":1,"has-more":true,"rows":[{"table":"servers","part":"","key":"a","value":"e30=","ver":3}]})";
    EXPECT_EQ(await(context->platform.store.readAll(platform_table::Endpoints)).status().code(), absl::StatusCode::kDataLoss);
    EXPECT_EQ(await(context->platform.store.scan("member/")).status().code(), absl::StatusCode::kDataLoss);
}

// Guards against feed calls that wait so long that a daemon considers its API keys stale although the store answers.
TEST_F(platform_store_test, keeps_keys_fresh_between_feed_calls)
{
    storeScript = [&](const http_request &request, int number) {
        const auto target = toView(request.target());
        const auto wait = target.find("wait-ms=");
        const json rows = number == 1 ? json{storedRow("config", validConfiguration().dump(), 3)} : json::array();
        const int delay = wait == std::string_view::npos ? 0 : std::stoi(std::string(target.substr(wait + 8)));
        return scripted_answer{.bytes = body({{"rows", rows}, {"has-more", false}, {"ver", 3}}), .delay = std::chrono::milliseconds(delay)};
    };
    asio::co_spawn(loop, followConfiguration(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->configurationRequestedAt.has_value();
        },
        std::chrono::seconds(1)));
    const bool becameStale = runUntil(
        [&] {
            return !context->keysFresh(bootNow());
        },
        std::chrono::milliseconds(4000));
    EXPECT_FALSE(becameStale);
}

// Guards against a configuration that is replaced by an older version or by a malformed one, and against an answer older than the followed
// version that counts as proof of a current configuration.
TEST_F(platform_store_test, never_goes_back_to_an_older_configuration)
{
    auto older = validConfiguration();
    older["version"] = 6;
    const std::vector<scripted_answer> answers{
        {.bytes = body({{"rows", {storedRow("config", validConfiguration().dump(), 3)}}, {"has-more", false}, {"ver", 3}})},
        {.bytes = body({{"rows", {storedRow("config", "garbage", 4)}}, {"ver", 4}})},
        {.bytes = body({{"rows", {storedRow("config", older.dump(), 5)}}, {"ver", 5}})},
        {.bytes = body({{"rows", json::array()}, {"ver", 2}})},
    };
    storeScript = [&](const http_request &, int number) {
        return number <= static_cast<int>(answers.size()) ? answers[static_cast<std::size_t>(number) - 1] : scripted_answer{.silent = true};
    };
    asio::co_spawn(loop, followConfiguration(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return store.requests.size() == 4;
        },
        std::chrono::seconds(3)));
    const auto requestedAt = *context->configurationRequestedAt;
    runUntil(
        [&] {
            return store.requests.size() == 5;
        },
        std::chrono::seconds(1));
    ASSERT_TRUE(context->configuration);
    EXPECT_EQ(context->configuration->version, 7U);
    EXPECT_EQ(*context->configurationRequestedAt, requestedAt);
}

// Guards against an odd entry that ends a daemon, or that keeps it from using the good entries beside it and those that follow.
TEST_F(platform_store_test, an_odd_entry_costs_only_itself)
{
    const std::string nested = std::string(60'000, '[') + std::string(60'000, ']');
    const auto serverWith = [](const char *field, const json &value) {
        auto out = validServer();
        out[field] = value;
        return out.dump();
    };
    const auto oddRows = [&](int version) {
        json rows = json::array();
        for (const auto &value : {nested, R"({"slots":)" + nested + "}", std::string(R"({"slots":1e400})"), std::string("\xff")}) {
            rows.push_back(storedRow(absl::StrCat("odd-", rows.size()), value, version));
        }
        rows.push_back(storedRow("odd-port", serverWith("address", "10.0.0.1:65536"), version));
        rows.push_back(storedRow("odd-slots", serverWith("slots", 4'294'967'297U), version));
        rows.push_back(storedRow("odd\r\nkey", validServer().dump(), version));
        rows.push_back(storedRow("odd-row", "", version));
        rows.back()["value"] = "nested";
        return rows;
    };
    const auto withGood = [&](json rows, const std::string &key, int version) {
        rows.insert(rows.begin(), storedRow(key + "-first", validServer().dump(), version));
        rows.push_back(storedRow(key + "-last", validServer().dump(), version));
        return rows;
    };
    auto start = withGood(oddRows(1), "start", 1);
    start.push_back(storedRow("later", serverWith("born", std::numeric_limits<std::int64_t>::max()), 1));
    auto feed = withGood(oddRows(2), "feed", 2);
    feed.push_back(storedRow("later", serverWith("zone", "b"), 2));
    // The library that writes JSON recurses, so the nested value is put into the text.
    const auto answer = [&](const http_request &request, const json &rows, int version) {
        const auto text = json{{"rows", rows}, {"has-more", false}, {"ver", version}}.dump();
        return scripted_answer{.bytes = wholeAnswer(request, 200, absl::StrReplaceAll(text, {{R"("nested")", nested}}))};
    };
    storeScript = [&](const http_request &request, int number) {
        switch (number) {
        case 1:
            return answer(request, start, 1);
        case 2:
            return answer(request, feed, 2);
        case 3:
            return answer(request, json::array({storedRow("after", validServer().dump(), 3)}), 3);
        default:
            return scripted_answer{.silent = true};
        }
    };
    spawnDuty(loop, followEndpoints(*context), "follow_endpoints");
    EXPECT_TRUE(runUntil(
        [&] {
            return context->endpoints.find("after") != nullptr;
        },
        3s));
    for (const auto *id : {"start-first", "start-last", "feed-first", "feed-last", "later"}) {
        EXPECT_TRUE(context->endpoints.find(id)) << id;
    }
    const auto later = context->endpoints.find("later");
    EXPECT_TRUE(later && later->entry.failureDomain == "b");
    for (const auto *id : {"odd-0", "odd-1", "odd-2", "odd-3", "odd-port", "odd-slots", "odd\r\nkey", "odd-row"}) {
        EXPECT_FALSE(context->endpoints.find(id)) << id;
    }
}

// Guards against a daemon that counts with the capacity of an odd member, or learns of no member because of it.
TEST_F(platform_store_test, an_odd_member_costs_only_itself)
{
    const auto member = [](const json &capacity) {
        return json{{"address", "10.0.0.1:1"}, {"caller_address", "10.0.0.1:2"}, {"failure_domain", "a"}, {"capacity", capacity}}.dump();
    };
    json rows = json::array();
    for (const auto &value : {std::string(60'000, '[') + std::string(60'000, ']'), member(1e300), member(-1), member(0), member("1"), std::string("\xff")}) {
        rows.push_back(storedRow(absl::StrCat("member/odd-", rows.size()), value, 1));
    }
    rows.push_back(storedRow("member/p", member(2), 1));
    storeScript = [&](const http_request &, int) {
        return scripted_answer{.bytes = body({{"rows", rows}, {"has-more", false}, {"ver", 1}, {"now-ms", 1}})};
    };
    spawnDuty(loop, maintainMembership(*context), "maintain_membership");
    ASSERT_TRUE(runUntil(
        [&] {
            return !context->members.empty();
        },
        2s));
    ASSERT_EQ(context->members.size(), 1U);
    EXPECT_EQ(context->members.begin()->first, "p");
}

// Guards against a relay whose message is lost because of one odd entry in it.
TEST(relayed_rows, an_odd_entry_costs_only_itself)
{
    const std::string nested = std::string(60'000, '[') + std::string(60'000, ']');
    const auto feed = parseFeed(encodeFeed({.version = 2, .rows = {{"odd", nested}, {"odd-text", "\xff"}, {"i-1", validServer().dump()}}}));
    ASSERT_TRUE(feed.ok()) << feed.status();
    ASSERT_EQ(feed->rows.size(), 3U);
    EXPECT_FALSE(parsers.endpoint(feed->rows[0].key, feed->rows[0].value).ok());
    EXPECT_FALSE(parsers.endpoint(feed->rows[1].key, feed->rows[1].value).ok());
    EXPECT_TRUE(parsers.endpoint(feed->rows[2].key, feed->rows[2].value).ok());
}

// Guards against a fleet that learns nothing from a restored store until its versions have passed the old ones, and against the older configuration.
TEST_F(platform_store_test, a_follower_goes_on_with_a_restored_store)
{
    auto older = validConfiguration();
    older["version"] = 5;
    auto newer = validConfiguration();
    newer["version"] = 8;
    int step = 0;
    storeScript = [&](const http_request &request, int) {
        const bool feed = toView(request.target()).find("rows-feed") != std::string_view::npos;
        const auto answer = [&](int era, int version, const json &rows, std::chrono::milliseconds delay = 0ms) {
            return scripted_answer{
                .bytes
                = wholeAnswer(request, 200, json{{"rows", rows}, {"has-more", false}, {"ver", version}}.dump(), absl::StrCat("Store-Era: ", era, "\r\n")),
                .delay = delay};
        };
        if (step == 0) {
            return feed ? scripted_answer{.bytes = wholeAnswer(request, 410, "{}", "Store-Era: 2\r\n")}
                        : answer(1, 20, json::array({storedRow("config", validConfiguration().dump(), 20)}));
        }
        if (!feed) {
            return answer(2, 4, json::array({storedRow("config", older.dump(), 4)}));
        }
        return step == 1 ? answer(2, 4, json::array(), 50ms) : answer(2, 5, json::array({storedRow("config", newer.dump(), 5)}), 50ms);
    };
    asio::co_spawn(loop, followConfiguration(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->platform.store.history() == 2;
        },
        1s));
    step = 1;
    ASSERT_TRUE(runUntil(
        [&] {
            return context->storeRestoredAt != instant{};
        },
        1s));
    const auto confirmedAt = *context->configurationRequestedAt;
    runUntil(
        [] {
            return false;
        },
        300ms);
    EXPECT_EQ(context->configuration->version, 7U);
    EXPECT_EQ(*context->configurationRequestedAt, confirmedAt);
    step = 2;
    ASSERT_TRUE(runUntil(
        [&] {
            return context->configuration->version == 8;
        },
        1s));
    EXPECT_GT(*context->configurationRequestedAt, confirmedAt);
}

// Guards against a configuration that is ignored because a restored store gave its version out before.
TEST_F(platform_store_test, a_version_that_is_given_out_again_with_other_content_is_taken)
{
    auto again = validConfiguration();
    again["tenants"][0]["api-keys"] = {"k3"};
    bool restored = false;
    storeScript = [&](const http_request &request, int) {
        const auto target = toView(request.target());
        if (restored && target.find("after=20") != std::string_view::npos) {
            return scripted_answer{.bytes = wholeAnswer(request, 410, "{}", "Store-Era: 2\r\n")};
        }
        const auto &value = restored ? again : validConfiguration();
        const json answer{{"rows", json::array({storedRow("config", value.dump(), 20)})}, {"has-more", false}, {"ver", 20}};
        const auto delay = target.find("rows-feed") != std::string_view::npos ? 50ms : 0ms;
        return scripted_answer{.bytes = wholeAnswer(request, 200, answer.dump(), restored ? "Store-Era: 2\r\n" : "Store-Era: 1\r\n"), .delay = delay};
    };
    asio::co_spawn(loop, followConfiguration(*context), asio::detached);
    const auto knowsKey = [&](const char *key) {
        return [this, key] {
            return context->configuration && context->configuration->keys.contains(key);
        };
    };
    ASSERT_TRUE(runUntil(knowsKey("k1"), 1s));
    restored = true;
    ASSERT_TRUE(runUntil(knowsKey("k3"), 2s));
    EXPECT_EQ(context->configuration->version, 7U);
    EXPECT_FALSE(context->configuration->keys.contains("k1"));
}

// Guards against a daemon that loses the store because answers of endpoints have used up the budget for bodies.
TEST_F(platform_store_test, answers_of_the_store_do_not_depend_on_those_of_endpoints)
{
    storeScript = [](const http_request &, int) {
        return scripted_answer{.bytes = body({{"rows", {storedRow("a", std::string(200'000, 'x'), 1)}}, {"has-more", false}, {"ver", 1}})};
    };
    byte_share others(context->pool.bodies(), [] {
    });
    others.set(80U << 20U);
    others.complete();
    context->pool.bodies()->setLimit(80U << 20U);
    EXPECT_TRUE(await(context->platform.store.read("a")).ok());
    EXPECT_EQ(context->pool.bodies()->givenUp(), 0U);
}

// Guards against rows of two histories in one result.
TEST_F(platform_store_test, a_restore_between_two_pages_fails_the_read)
{
    storeScript = [&](const http_request &request, int number) {
        const json page{{"rows", json::array({storedRow(number == 1 ? "member/a" : "member/b", "x", 1)})}, {"has-more", number == 1}, {"ver", 8}};
        return scripted_answer{.bytes = wholeAnswer(request, 200, page.dump(), absl::StrCat("Store-Era: ", number, "\r\n"))};
    };
    EXPECT_FALSE(await(context->platform.store.scan("member/")).ok());
}

// Guards against a caller whose absurd counts make an engine look busy for hours to all daemons.
TEST(prompt_headers, absurd_counts_of_tokens_are_malformed)
{
    const auto wire = platform::makeWire();
    http_request request;
    request.set("X-Model-Name", "m");
    request.set("X-Token-Counts", "18446744073709551615,20");
    request.set("X-Prefix-Hash", "a1:200,b2:18446744073709551615,c3:100");
    const auto prompt = wire.parsePrompt(request);
    ASSERT_TRUE(prompt);
    EXPECT_EQ(prompt->promptTokens, 0);
    EXPECT_EQ(prompt->maxOutputTokens, 20);
    EXPECT_EQ(prompt->prefixBlocks.size(), 1U);
}

// Guards against a quota that is charged for absurd or half-told counts of tokens.
TEST(prompt_headers, tokens_count_only_when_both_numbers_are_well_formed)
{
    const auto wire = platform::makeWire();
    http_request request;
    EXPECT_FALSE(wire.parseTokenCount(request));
    request.set("X-Token-Counts", "17000,300");
    EXPECT_EQ(wire.parseTokenCount(request), 17300);
    for (const char *odd : {"17000", "17000,", "17000,-1", "18446744073709551615,1", "a,b", "1,2,3"}) {
        request.set("X-Token-Counts", odd);
        EXPECT_FALSE(wire.parseTokenCount(request)) << odd;
    }
}

// Guards against a daemon that drops out of the fleet because a restored store lacks its row.
TEST_F(platform_store_test, a_member_writes_its_row_again_to_a_restored_store)
{
    int era = 1;
    int writes = 0;
    storeScript = [&](const http_request &request, int) {
        writes += request.method() == http::verb::post ? 1 : 0;
        return scripted_answer{.bytes = wholeAnswer(request, 200, R"({"rows":[],"has-more":false,"ver":3})", absl::StrCat("Store-Era: ", era, "\r\n"))};
    };
    context->members["other"] = {.address = "127.0.0.1:1", .failureDomain = "domain-a"};
    context->peers["other"] = {.serving = true};
    context->storeRestoredAt = bootNow();
    asio::co_spawn(loop, maintainMembership(*context), asio::detached);
    ASSERT_TRUE(runUntil(
        [&] {
            return writes == 1;
        },
        1s));
    era = 2;
    EXPECT_TRUE(await(context->platform.store.read("x")).ok());
    EXPECT_TRUE(runUntil(
        [&] {
            return writes == 2;
        },
        1s));
    EXPECT_TRUE(context->members.contains("other"));
}

/// A daemon that starts, and a store with members and a configuration.
class platform_start_test : public platform_store_test
{
protected:
    platform_start_test()
    {
        storeScript = [this](const http_request &request, int) {
            const auto target = toView(request.target());
            const bool ofOperator = target.find("table=op") != std::string_view::npos;
            const bool ofRecord = target.find("from=history") != std::string_view::npos;
            const bool feed = target.find("rows-feed") != std::string_view::npos;
            const auto eraField = [this] {
                return absl::StrCat("Store-Era: ", era, "\r\n");
            };
            if (request.method() == http::verb::post) {
                const auto change = json::parse(request.body())["put"][0];
                EXPECT_TRUE(absl::Base64Unescape(change["value"].get<std::string>(), &written[change["key"].get<std::string>()]));
                if (refusesWrites) {
                    return scripted_answer{.bytes = wholeAnswer(request, 503, "{}", eraField())};
                }
            }
            if (ofOperator && restoresAtConfiguration) {
                era = 2;
            }
            const bool changed = !ofOperator || !feed || std::exchange(listed, configurations) != configurations;
            listed = ofOperator ? configurations : listed;
            const json &rows = ofOperator ? configurations : ofRecord ? records : members;
            const json answer{{"rows", changed ? rows : json::array()}, {"has-more", false}, {"ver", 4}, {"now-ms", nowMs}};
            return scripted_answer{.bytes = wholeAnswer(request, 200, answer.dump(), eraField()), .delay = feed ? 50ms : 0ms};
        };
    }

    void start()
    {
        context->membersUnread = true;
        context->historyUnread = true;
        asio::co_spawn(loop, followConfiguration(*context), asio::detached);
        asio::co_spawn(loop, maintainHistoryRecord(*context), asio::detached);
        asio::co_spawn(loop, maintainMembership(*context), asio::detached);
    }

    static json memberRows(std::string_view id, int history, int configuration)
    {
        const json value{{"address", "127.0.0.1:1"},
                         {"caller_address", "127.0.0.1:2"},
                         {"failure_domain", "a"},
                         {"capacity", 1},
                         {"history", history},
                         {"configuration", configuration}};
        return json::array({storedRow(absl::StrCat("member/", std::string(id)), value.dump(), 3)});
    }

    static json configurationRows(int version)
    {
        auto value = validConfiguration();
        value["version"] = version;
        return json::array({storedRow("config", value.dump(), 4)});
    }

    static json recordRows(const history_record &record)
    {
        return json::array({storedRow("history", encodeHistory(record), 3)});
    }

    /// Whether the daemon accepts keys at the end of `time`, or before.
    bool knowsKeys(std::chrono::milliseconds time)
    {
        return runUntil(
            [this] {
                return context->keysFresh(bootNow());
            },
            time);
    }

    /// Whether the daemon has a configuration at the end of `time`, or before.
    bool getsConfiguration(std::chrono::milliseconds time)
    {
        return runUntil(
            [this] {
                return context->configuration != nullptr;
            },
            time);
    }

    int era = 2;
    bool restoresAtConfiguration = false; ///< The store is in era 2 from the first read of the configuration on.
    bool refusesWrites = false;
    json members = json::array();
    json configurations = configurationRows(5);
    json records = json::array();
    json listed; ///< Configurations of the last answer.
    std::int64_t nowMs = 60'000; ///< The clock of the store.
    std::map<std::string, std::string> written; ///< The last value of each row that was written.
};

// Guards against a daemon that starts between a restore and the operator's next write, and serves by a configuration that is older than the fleet's.
TEST_F(platform_start_test, a_daemon_that_starts_after_a_restore_takes_no_older_configuration)
{
    members = memberRows("a", 1, 5);
    start();
    EXPECT_FALSE(getsConfiguration(1s)) << "the member has not met the restore yet";
    members = memberRows("a", 2, 8);
    EXPECT_FALSE(getsConfiguration(1500ms)) << "the member holds a newer configuration";
    configurations = configurationRows(8);
    ASSERT_TRUE(getsConfiguration(1s));
    EXPECT_EQ(context->configuration->version, 8U);
    EXPECT_EQ(json::parse(written["member/daemon-1"])["history"], 2);
}

// Guards against a withdrawn key that works again: all daemons start in a restored store, and the operator has not written the withdrawal again yet.
TEST_F(platform_start_test, daemons_that_all_start_in_a_restored_store_judge_no_keys_before_the_operator_has_written)
{
    records = recordRows({.history = 1});
    members = memberRows("a", 2, 0);
    start();
    EXPECT_FALSE(knowsKeys(2500ms));
    configurations = configurationRows(8);
    EXPECT_TRUE(knowsKeys(500ms));
    EXPECT_EQ(context->configuration->version, 8U);
    const auto record = parseHistory(written["history"]);
    ASSERT_TRUE(record);
    EXPECT_EQ(*record, (history_record{.history = 2, .reportedBefore = context->reportedBefore, .configuration = 0, .restoredAtMs = nowMs}));
}

// Guards against daemons that never accept keys again, because the restored store lacks nothing and the operator writes nothing.
TEST_F(platform_start_test, keys_are_judged_some_seconds_after_a_restore_even_if_the_operator_writes_nothing)
{
    records = recordRows({.history = 2, .restoredAtMs = nowMs - 1500});
    start();
    EXPECT_FALSE(knowsKeys(1200ms));
    EXPECT_TRUE(knowsKeys(600ms));
}

// Guards against starts that are slower for ever after a restore.
TEST_F(platform_start_test, a_restore_long_ago_delays_no_start)
{
    records = recordRows({.history = 2, .restoredAtMs = nowMs - 9000});
    start();
    EXPECT_TRUE(knowsKeys(500ms));
}

// Guards against a start that is slow, or that takes an older configuration, although a daemon that met the restore has noted which version it held.
TEST_F(platform_start_test, the_record_of_a_history_vouches_for_a_configuration)
{
    records = recordRows({.history = 2, .configuration = 8, .restoredAtMs = nowMs - 500});
    start();
    EXPECT_FALSE(getsConfiguration(1s)) << "the store lists an older one";
    configurations = configurationRows(8);
    EXPECT_TRUE(knowsKeys(500ms));
}

// Guards against starts that are slow for ever because of odd figures in the record.
TEST_F(platform_start_test, an_odd_record_delays_one_start)
{
    records = recordRows({.history = 2, .configuration = 1'000'000, .restoredAtMs = nowMs - 60'000});
    start();
    EXPECT_TRUE(knowsKeys(500ms)) << "a version that nobody writes, noted a minute ago";
}

TEST_F(platform_start_test, a_restore_in_the_future_is_corrected)
{
    records = recordRows({.history = 2, .restoredAtMs = std::numeric_limits<std::int64_t>::max()});
    start();
    ASSERT_TRUE(runUntil(
        [&] {
            return written.contains("history");
        },
        1s));
    EXPECT_EQ(parseHistory(written["history"])->restoredAtMs, nowMs);
}

// Guards against a restore that is unknown to daemons that start later, because the copy is older than the first record.
TEST_F(platform_start_test, a_daemon_that_lives_through_a_restore_notes_it_in_a_store_without_a_record)
{
    era = 1;
    records = recordRows({.history = 1});
    start();
    ASSERT_TRUE(knowsKeys(500ms));
    era = 2;
    records = json::array();
    ASSERT_TRUE(runUntil(
        [&] {
            return written.contains("history");
        },
        1s));
    EXPECT_EQ(parseHistory(written["history"])->restoredAtMs, nowMs);
    EXPECT_EQ(parseHistory(written["history"])->configuration, 5U);
}

// Guards against a record that does not name the newest configuration, because a daemon that had none wrote it first.
TEST_F(platform_start_test, a_daemon_that_lives_through_a_restore_notes_the_configuration_that_it_holds)
{
    era = 1;
    records = recordRows({.history = 1});
    start();
    ASSERT_TRUE(knowsKeys(500ms));
    const auto confirmedAt = *context->configurationRequestedAt;
    era = 2;
    records = recordRows({.history = 2, .reportedBefore = 3, .configuration = 0, .restoredAtMs = nowMs});
    ASSERT_TRUE(runUntil(
        [&] {
            return written.contains("history");
        },
        1s));
    EXPECT_EQ(*parseHistory(written["history"]), (history_record{.history = 2, .reportedBefore = 3, .configuration = 5, .restoredAtMs = nowMs}));
    // A change that it had not read before the restore may be lost; the operator gets the time to write it again.
    const auto isConfirmed = [&] {
        return context->configurationRequestedAt > confirmedAt;
    };
    EXPECT_FALSE(runUntil(isConfirmed, 300ms));
    EXPECT_TRUE(runUntil(isConfirmed, 1s));
}

// Guards against the same when the store is restored between the reads of the members and of the configuration.
TEST_F(platform_start_test, members_of_an_earlier_history_vouch_for_no_configuration)
{
    era = 1;
    restoresAtConfiguration = true;
    members = memberRows("a", 1, 0);
    start();
    EXPECT_FALSE(getsConfiguration(1s));
    members = memberRows("a", 2, 8);
    EXPECT_FALSE(getsConfiguration(1500ms));
    configurations = configurationRows(8);
    EXPECT_TRUE(getsConfiguration(1s));
}

// Guards against a start that waits for a member that is gone.
TEST_F(platform_start_test, a_row_that_is_never_written_again_delays_a_start_for_two_seconds)
{
    members = memberRows("gone", 1, 7);
    start();
    EXPECT_FALSE(getsConfiguration(1500ms));
    EXPECT_TRUE(getsConfiguration(2s));
}

// Guards against a daemon that never serves because of an odd row of a member.
TEST_F(platform_start_test, the_version_of_a_member_counts_for_half_a_minute)
{
    members = memberRows("a", 2, 1'000'000);
    start();
    EXPECT_FALSE(getsConfiguration(1s));
    context->configurationFloorAt -= 31s;
    ASSERT_TRUE(getsConfiguration(1s));
    EXPECT_TRUE(runUntil(
        [&] {
            return context->keysFresh(bootNow());
        },
        1s));
}

// Guards against a start that never serves while the store refuses writes.
TEST_F(platform_start_test, a_daemon_that_cannot_write_its_row_serves_all_the_same)
{
    refusesWrites = true;
    start();
    EXPECT_TRUE(getsConfiguration(1s));
}

// Guards against keys that are accepted by an older configuration than a member was found to hold.
TEST_F(platform_start_test, an_older_configuration_than_that_of_a_member_judges_no_keys)
{
    start();
    const auto knowsKeys = [&] {
        return context->keysFresh(bootNow());
    };
    ASSERT_TRUE(runUntil(knowsKeys, 1s));
    members = memberRows("a", 2, 8);
    context->unknownSender = true;
    runUntil(
        [&] {
            return context->configurationFloor == 8;
        },
        2s);
    EXPECT_FALSE(runUntil(knowsKeys, 500ms));
}

}
