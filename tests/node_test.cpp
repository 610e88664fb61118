#include "coordination/effect_runner.h"
#include "coordination/load_poller.h"
#include "coordination/node.h"
#include "protocol/tunables.h"
#include "standin/growing_thread_pool.h"
#include "state/metrics.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

/// A fake platform on loopback with tables, an instance list and endpoint orders.
class platform_fixture
{
public:
    platform_fixture()
    {
        m_server.Post("/tables/commit", [this](const httplib::Request &request, httplib::Response &response) {
            transaction change;
            const auto body = json::parse(request.body);
            for (const auto &item : body["conditions"]) {
                change.conditions.push_back({.key = item["key"], .version = item["version"]});
            }
            for (const auto &item : body["writes"]) {
                change.writes.push_back({.key = item["key"], .value = item["value"].get<std::string>()});
            }
            response.status = m_table.commit(change) == commit_outcome::Committed ? 200 : 409;
        });
        m_server.Get("/tables/row", [this](const httplib::Request &request, httplib::Response &response) {
            const auto found = *m_table.read(request.get_param_value("key"));
            response.status = found ? 200 : 404;
            if (found) {
                response.set_content(json{{"key", found->key}, {"value", found->value}, {"version", found->version}}.dump(), "application/json");
            }
        });
        m_server.Get("/instances", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(m_mutex);
            response.set_content(json{{"instances", m_instances}}.dump(), "application/json");
        });
        m_server.Post("/endpoints/orders", [this](const httplib::Request &, httplib::Response &response) {
            ++orders;
            response.set_content(R"({"granted":[{"id":"e1","address":"127.0.0.1:1"}]})", "application/json");
        });
        // Idle connections of the daemons occupy a thread each, so calls would wait in a pool of fixed size.
        m_server.new_task_queue = [] {
            return new growing_thread_pool;
        };
        port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] {
            m_server.listen_after_bind();
        });
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~platform_fixture()
    {
        m_server.stop();
        m_thread.join();
    }

    void list(const std::string &id, int peerPort)
    {
        const std::lock_guard lock(m_mutex);
        m_instances.push_back({{"id", id}, {"address", "127.0.0.1:" + std::to_string(peerPort)}, {"failure_domain", "f-" + id}});
    }

    int port = 0;
    std::atomic<int> orders = 0;

private:
    memory_table m_table;
    std::mutex m_mutex;
    json m_instances = json::array();
    httplib::Server m_server;
    std::thread m_thread;
};

daemon_settings makeSettings(const std::string &id, const platform_fixture &platform)
{
    return {
        .instanceId = id,
        .failureDomain = "f-" + id,
        .platform = {.port = platform.port},
        .clusterSecret = "secret",
        .callerThreads = 4,
    };
}

template <typename Condition>
bool eventually(Condition condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

// Guards against daemons that do not discover each other, against two holders of one duty, and against a drain that does not release leases.
TEST(node_test, two_daemons_form_a_roster_and_transfer_duties_on_drain)
{
    platform_fixture platform;
    node first(makeSettings("d1", platform));
    node second(makeSettings("d2", platform));
    ASSERT_TRUE(first.start().ok());
    ASSERT_TRUE(second.start().ok());
    platform.list("d1", first.peerPort());
    platform.list("d2", second.peerPort());
    ASSERT_TRUE(eventually(
        [&] {
            return first.roster().members.size() == 2 && second.roster().members.size() == 2 && first.duties().size() + second.duties().size() == 4;
        },
        std::chrono::seconds(20)));
    httplib::Client client("127.0.0.1", first.callerPort());
    const std::string metricsText = client.Get("/metrics")->body;
    EXPECT_NE(metricsText.find("lacewinglock_first_token_ms_count"), std::string::npos);
    // Each of these metrics is above zero by now; a zero would mean that a part of the control traffic is not counted.
    for (const std::string name : {"lacewinglock_control_bytes_sent_total",
                                   "lacewinglock_control_bytes_received_total",
                                   "lacewinglock_store_reads_total",
                                   "lacewinglock_store_writes_total",
                                   "lacewinglock_tick_cpu_us_total",
                                   "process_resident_memory_bytes",
                                   "process_cpu_seconds_total"}) {
        const auto position = metricsText.find("\n" + name + " ");
        ASSERT_NE(position, std::string::npos) << name;
        EXPECT_GT(std::stod(metricsText.substr(position + name.size() + 2)), 0) << name;
    }
    const auto leases = second.leaseStatus();
    ASSERT_EQ(leases.size(), 4U);
    for (const auto &lease : leases) {
        EXPECT_TRUE(lease.holder == "d1" || lease.holder == "d2") << lease.duty << " is held by '" << lease.holder << "'";
        EXPECT_EQ(lease.heldHere, lease.holder == "d2") << lease.duty;
    }
    first.drain();
    // The limit is well below a lease term, because the successor need not wait until released leases expire.
    EXPECT_TRUE(eventually(
        [&] {
            return second.duties().size() == 4;
        },
        std::chrono::seconds(4)));
}

// Guards against an order that is sent to the platform after the sender's lease has expired.
TEST(effect_runner_test, sends_nothing_after_the_lease_expired)
{
    platform_fixture platform;
    table_store store(std::make_shared<memory_table>());
    instant now = instant() + duration(std::chrono::seconds(10));
    effect_runner runner({.store = store,
                          .platform = {.port = platform.port},
                          .now =
                              [&] {
                                  return now;
                              },
                          .endpointAddress =
                              [](const std::string &) {
                                  return std::optional<std::string>();
                              }},
                         1);
    const send_provision_effect expired{.op = 1, .order = {.token = "t", .count = 1}, .validUntil = now};
    EXPECT_EQ(std::get<delivery_event>(runner.perform(expired)).outcome, delivery_outcome::NotSent);
    EXPECT_EQ(platform.orders, 0);
    const send_provision_effect valid{.op = 2, .order = {.token = "t", .count = 1}, .validUntil = now + duration(1)};
    const auto accepted = std::get<delivery_event>(runner.perform(valid));
    EXPECT_EQ(accepted.outcome, delivery_outcome::Accepted);
    EXPECT_EQ(accepted.endpoints, std::vector<std::string>{"e1"});
    EXPECT_EQ(platform.orders, 1);
}

// Guards against a malformed load report that crashes the daemon or is taken for the report of an idle endpoint.
TEST(load_poller_test, rejects_fields_of_the_wrong_type)
{
    EXPECT_FALSE(parseLoadReport("e1", R"({"running_streams":"many"})").ok());
    EXPECT_FALSE(parseLoadReport("e1", "[]").ok());
    EXPECT_FALSE(parseLoadReport("e1", "not json").ok());
    EXPECT_EQ(parseLoadReport("e1", R"({"age_ms":5,"running":3})")->runningStreams, 3);
}

// Guards against lost usage of a daemon that has left, and against usage that is billed twice although its owner had written and released it.
TEST(usage_ledger_test, adopts_only_unreleased_records_of_owners_that_left)
{
    usage_ledger ledger;
    ledger.storeReplicas("d2", {{.requestId = "r1"}, {.requestId = "r2"}});
    ledger.storeReplicas("d3", {{.requestId = "r3"}});
    const std::vector<std::string> written{"r1"};
    ledger.releaseReplicas("d2", written);
    EXPECT_EQ(ledger.adoptOrphans([](std::string_view owner) {
        return owner == "d3";
    }),
              1U);
    const auto orphans = ledger.takeOrphans();
    ASSERT_EQ(orphans.size(), 1U);
    EXPECT_EQ(orphans.front().requestId, "r2");
    EXPECT_TRUE(ledger.takeOrphans().empty());
    EXPECT_EQ(ledger.replicaCount(), 1U);
}

// Guards against histogram buckets that are not cumulative, from which Prometheus would compute wrong percentiles.
TEST(metrics_test, buckets_are_cumulative)
{
    metrics all;
    all.observe(metric_histogram::TokenGapMs, 30);
    all.observe(metric_histogram::TokenGapMs, 1e9);
    const auto text = all.text();
    EXPECT_NE(text.find("lacewinglock_token_gap_ms_bucket{le=\"42\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("lacewinglock_token_gap_ms_bucket{le=\"+Inf\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("lacewinglock_token_gap_ms_count 2\n"), std::string::npos);
}

}

}
