#include "edge_fixture.h"

#include "protocol/tunables.h"
#include "serving/lease_runner.h"
#include "state/table_store.h"

#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

class lease_runner_test : public edge_fixture
{
protected:
    lease_runner_test()
    {
        context->platform.store.read = [this](std::string key) -> task<absl::StatusOr<std::optional<row>>> {
            co_return table.read(key);
        };
        context->platform.store.commit = [this](transaction change) -> task<commit_outcome> {
            co_return table.commit(change);
        };
        context->members = {{settings.id, {.address = "127.0.0.1:1"}}};
    }

    std::string holderInStore()
    {
        const auto found = table.read("lease/main/platform");
        return found.ok() && *found ? nlohmann::json::parse((*found)->value).value("holder", "") : "";
    }

    memory_table table;
};

}

// Guards against a lease that is handed over on SIGTERM while an order of this daemon may still arrive: an engine that does not check tokens would
// take it after an order of the successor.
TEST_F(lease_runner_test, a_stop_keeps_the_lease_until_the_last_order_has_ended)
{
    lease_runner lease(*context, "platform");
    asio::co_spawn(loop, lease.run(), asio::detached);
    std::optional<order_authority> authority;
    ASSERT_TRUE(runUntil(
        [&] {
            authority = lease.authorize();
            return authority.has_value();
        },
        5s));
    const instant permittedAt = bootNow();
    context->stopping = true;
    EXPECT_FALSE(lease.authorize()) << "a daemon that stops gives no orders";
    ASSERT_TRUE(runUntil(
        [&] {
            return holderInStore().empty();
        },
        5s));
    EXPECT_GE(bootNow() - permittedAt, tunables::orderCallLimit);
}

}
