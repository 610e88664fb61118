#include "coordination/cli_commands.h"
#include "coordination/config_follower.h"
#include "coordination/operator_interface.h"

#include "coordination/usage_keeper.h"
#include "protocol/api_keys.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sstream>
#include <thread>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

const std::string examples = SOURCE_DIR "/examples/";

/// Operator interface of a daemon on a free port, with an in-memory table and a roster of one.
class operator_interface : public testing::Test
{
protected:
    operator_interface()
    {
        registerOperatorRoutes(server, context);
        const int port = server.bind_to_any_port("127.0.0.1");
        call.target.server = "http://127.0.0.1:" + std::to_string(port);
        thread = std::thread([this] {
            server.listen_after_bind();
        });
        while (!server.is_running()) {
            std::this_thread::yield();
        }
        const auto *name = testing::UnitTest::GetInstance()->current_test_info()->name();
        directory = std::filesystem::temp_directory_path() / (std::string("lacewinglock_") + name + std::to_string(port));
        std::filesystem::create_directories(directory / "d");
        call.target.tokenFile = write("token", "secret\n");
    }

    ~operator_interface() override
    {
        server.stop();
        thread.join();
        std::filesystem::remove_all(directory);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(directory / name) << text;
        return directory / name;
    }

    int run(std::vector<std::string> arguments)
    {
        call.arguments = std::move(arguments);
        out.str("");
        errors.str("");
        return runCommand(operatorCommands(), call, false, out, errors);
    }

    json response() const
    {
        return json::parse(out.str(), nullptr, false);
    }

    config_holder holder;
    config_follower follower{holder};
    endpoint_table endpoints;
    suspect_table suspects;
    usage_ledger usage;
    table_store store{std::make_shared<memory_table>()};
    decision_ring ring{1U << 20U};
    decision_log decisions{"/dev/null", &ring};
    std::atomic<bool> reachesMajority{true};
    serving_context serving{
        .instanceId = "i1",
        .cell = "main",
        .config = holder,
        .endpoints = endpoints,
        .suspects = suspects,
        .usage = usage,
        .store = store,
        .decisions = decisions,
        .now =
            [] {
                return instant{};
            },
        .fresh =
            [] {
                return true;
            },
        .draining =
            [] {
                return false;
            },
        .instances =
            [] {
                return std::vector<instance_info>{{.id = "i1", .failureDomain = "ribbon-a"}};
            },
    };
    config_editor editor{storeCalls(store), holder};
    operator_context context{
        .serving = serving,
        .editor = editor,
        .recentDecisions = ring,
        .operatorTokenHash = sha256Hex("secret"),
        .pushPatch =
            [this](std::uint64_t version, const json &patch) {
                const config_update step{.version = version, .body = patch};
                follower.receivePatches({&step, 1});
            },
        .heldByMajority =
            [this](std::uint64_t version) {
                return reachesMajority && holder.current()->parsed.version >= version;
            },
        .roster =
            [] {
                return std::vector<std::string>{"i1"};
            },
        .leases =
            [] {
                return std::vector<lease_status>{{.duty = "orders", .holder = "i1", .epoch = 3}};
            },
        .majorityTimeout = 50ms,
    };
    httplib::Server server;
    std::thread thread;
    std::filesystem::path directory;
    cli_call call;
    std::ostringstream out;
    std::ostringstream errors;
};

}

// Guards against an operator route that runs without a valid token.
TEST_F(operator_interface, every_route_needs_the_token)
{
    httplib::Client client(call.target.server);
    for (const char *path : {"config", "status", "usage?window=1", "decisions?request=r", "patch/1-ab"}) {
        EXPECT_EQ(client.Get(std::string("/operator/v1/") + path)->status, 401) << path;
    }
    client.set_bearer_token_auth("wrong");
    for (const char *path : {"patch", "keys", "keys/k/withdraw"}) {
        EXPECT_EQ(client.Post(std::string("/operator/v1/") + path, "{}", "application/json")->status, 401) << path;
    }
}

// Guards against examples that the parser rejects, and against an apply that is not idempotent.
TEST_F(operator_interface, applies_both_example_directories)
{
    for (const char *example : {"ribbonwire", "pellham"}) {
        call.file = examples + example;
        ASSERT_EQ(run({"apply"}), 0) << errors.str();
        EXPECT_TRUE(response()["in_force"]);
        ASSERT_EQ(run({"diff"}), 0) << errors.str();
        EXPECT_TRUE(response()["patch"].empty()) << out.str();
    }
    EXPECT_EQ(holder.current()->parsed.version, 2U);
    EXPECT_EQ(holder.current()->parsed.endpoints.size(), 24U);
    EXPECT_EQ(run({"check-settings", examples + "settings/daemon.json"}), 0) << errors.str();
}

// Guards against a key whose text can be read later, that works after its withdrawal, or that a later apply removes.
TEST_F(operator_interface, key_life_cycle)
{
    call.file = examples + "pellham";
    call.organisation = "tallow-street";
    ASSERT_EQ(run({"apply"}), 0) << errors.str();
    ASSERT_EQ(run({"key", "create"}), 0) << errors.str();
    const std::string id = response()["id"];
    const std::string text = response()["key"];
    ASSERT_EQ(run({"apply"}), 0) << errors.str();
    ASSERT_TRUE(findKey(holder.current()->parsed, text));
    ASSERT_EQ(run({"get"}), 0);
    EXPECT_EQ(out.str().find(text), std::string::npos);
    ASSERT_EQ(run({"key", "withdraw", id}), 0) << errors.str();
    EXPECT_FALSE(findKey(holder.current()->parsed, text));
    EXPECT_EQ(run({"key", "withdraw", "none"}), 1);
    call.id = id;
    EXPECT_EQ(run({"key", "create"}), 1);
    call.id.clear();
    call.organisation = "nobody";
    EXPECT_EQ(run({"key", "create"}), 1);
    EXPECT_NE(errors.str().find("not declared"), std::string::npos);
}

// Guards against a patch reported as in force without a majority, and against a conflict that does not name the differing paths.
TEST_F(operator_interface, patch_responses)
{
    reachesMajority = false;
    call.base = "0";
    call.file = write("patch.json", R"({"organisations": {"a": {"weight": 2}}})");
    ASSERT_EQ(run({"patch"}), 0) << errors.str();
    EXPECT_FALSE(response()["in_force"]);
    EXPECT_EQ(response()["message"], "stored, not yet in force");
    const std::string nonce = response()["nonce"];
    EXPECT_EQ(run({"patch-status", nonce}), 0);
    EXPECT_TRUE(response()["stored"]);
    EXPECT_EQ(run({"patch"}), 1);
    EXPECT_NE(errors.str().find("differing_paths: [\"/organisations/a/weight\"]"), std::string::npos) << errors.str();
    call.base = "1";
    call.file = write("patch.json", R"({"organisations": {"a": {"wait": 2}}})");
    EXPECT_EQ(run({"patch"}), 1);
    EXPECT_NE(errors.str().find("/organisations/a/wait: unknown field"), std::string::npos) << errors.str();
}

// Guards against conflicting declarations of which one silently overrides another.
TEST_F(operator_interface, conflicting_declarations_are_errors)
{
    call.file = directory / "d";
    EXPECT_EQ(run({"diff"}), 1);
    write("d/organisations.json", R"({"a": {"weight": 2}})");
    write("d/more.json", R"({"organisations": {"b": {}}})");
    EXPECT_EQ(run({"diff"}), 0) << errors.str();
    write("d/more.json", R"({"organisations": {"a": {"weight": 2}}})");
    EXPECT_EQ(run({"diff"}), 1);
    EXPECT_NE(errors.str().find("/organisations/a/weight is already declared"), std::string::npos) << errors.str();
    write("d/more.json", R"({"organisations": {"b": {}, "b": {}}})");
    EXPECT_EQ(run({"diff"}), 1);
    EXPECT_NE(errors.str().find("declared twice"), std::string::npos) << errors.str();
}

// Guards against queries that fail or return the wrong row, and against wrong use that exits with 0.
TEST_F(operator_interface, queries_and_wrong_use)
{
    store.commit({.writes = {{.key = windowKey("main", 7), .value = R"({"state": "frozen"})"}}});
    call.window = "7";
    ASSERT_EQ(run({"usage"}), 0) << errors.str();
    EXPECT_EQ(response()["row"]["state"], "frozen");
    call.window = "8";
    EXPECT_EQ(run({"usage"}), 1);
    ASSERT_EQ(run({"status"}), 0) << errors.str();
    EXPECT_EQ(response()["leases"][0]["epoch"], 3);
    decisions.write({.id = "d1", .kind = "route", .requestId = "r1", .input = "{}", .result = "{}"});
    EXPECT_EQ(operatorGet(call.target, "/operator/v1/decisions?request=r1")->at("decisions").size(), 1U);
    EXPECT_TRUE(operatorGet(call.target, "/operator/v1/decisions?request=r2")->at("decisions").empty());
    EXPECT_EQ(run({"key"}), 2);
    EXPECT_EQ(run({"key", "withdraw"}), 2);
    call.target.tokenFile = directory / "none";
    EXPECT_EQ(run({"status"}), 1);
}

// Guards against a ring whose records use memory without bound.
TEST(decision_ring, drops_the_oldest_records)
{
    decision_ring ring(2000);
    for (int number = 0; number < 100; ++number) {
        ring.add({.requestId = "r" + std::to_string(number), .input = std::string(300, 'x')});
    }
    EXPECT_TRUE(ring.find("r0").empty());
    EXPECT_EQ(ring.find("r99").size(), 1U);
}

}
