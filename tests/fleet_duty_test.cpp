#include "edge_fixture.h"

#include "serving/fleet_duty.h"
#include "state/table_store.h"

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// A daemon that holds the lease on an in-memory store and gives orders to engines that answer late.
class fleet_duty_test : public edge_fixture
{
protected:
    fleet_duty_test()
    {
        auto &platform = context->platform;
        platform.store.read = [this](std::string key) -> task<absl::StatusOr<std::optional<row>>> {
            co_return table.read(key);
        };
        platform.store.commit = [this](transaction change) -> task<commit_outcome> {
            co_return table.commit(change);
        };
        platform.orders.orderEndpoints = [](order_authority, endpoint_count_order) -> task<delivery_outcome> {
            co_return delivery_outcome::Accepted;
        };
        platform.orders.fetchEngineReport = [this](endpoint_entry) -> task<absl::StatusOr<engine_report>> {
            ++reportsAsked;
            co_await sleepFor(reportDelay);
            ++reportsAnswered;
            co_return engine_report{.role = endpoint_role::Decode};
        };
        platform.orders.orderRole = [this](order_authority, endpoint_entry, std::uint64_t, endpoint_role) -> task<delivery_outcome> {
            ++rolesOrdered;
            co_return delivery_outcome::Accepted;
        };
        context->members = {{settings.id, {.address = "127.0.0.1:1"}}};
        configure({makeRoute("/generate/", "models")});
        auto configuration = std::make_shared<serving_configuration>(*context->configuration);
        configuration->services["models"] = {.name = "models", .scaling = scaling_limits{.min = 1, .max = 6}};
        context->configuration = configuration;
        for (int i = 0; i < 6; ++i) {
            addEndpoint("e" + std::to_string(i), "models", "127.0.0.1:1", i == 0 ? endpoint_role::Prefill : endpoint_role::Decode);
        }
    }

    memory_table table;
    duration reportDelay = 1500ms;
    int reportsAsked = 0;
    int reportsAnswered = 0;
    int rolesOrdered = 0;
};

}

// Guards against a process that ends amid its answers, because a role change goes on after the planner that started it has ended with the stop of
// the daemon. The access to freed memory shows under `make sanitize`.
TEST_F(fleet_duty_test, a_stop_during_a_role_change_ends_in_order)
{
    // All queued work is prefill, so an engine must change to that role.
    context->endpoints.find("e0")->own = {.running = 40, .promptTokens = 2e6};
    lease_runner lease(*context, "platform");
    bool planningEnded = false;
    asio::co_spawn(loop, lease.run(), asio::detached);
    asio::co_spawn(
        loop,
        [&]() -> task<void> {
            co_await planEngines(*context, lease);
            planningEnded = true;
        },
        asio::detached);
    // The planner changes roles no earlier than six seconds after its start.
    ASSERT_TRUE(runUntil(
        [&] {
            return reportsAsked == 1;
        },
        15s));
    ASSERT_EQ(context->reserved.size(), 1U);
    context->stopping = true;
    ASSERT_TRUE(runUntil(
        [&] {
            return planningEnded;
        },
        2s));
    ASSERT_EQ(reportsAnswered, 0);
    ASSERT_TRUE(runUntil(
        [&] {
            return context->reserved.empty();
        },
        5s));
    EXPECT_EQ(reportsAnswered, 1);
    EXPECT_EQ(rolesOrdered, 0); // A daemon that stops gives no orders.
}

}
