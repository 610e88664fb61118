#include "transport/spawn.h"

#include "serving/edge_daemon.h"
#include "transport/boot_clock.h"

#include <csignal>
#include <glog/logging.h>
#include <gtest/gtest.h>

namespace lacewinglock
{

namespace
{

/// Collects the messages logged while it exists.
class message_recorder : public google::LogSink
{
public:
    message_recorder()
    {
        google::AddLogSink(this);
    }

    ~message_recorder() override
    {
        google::RemoveLogSink(this);
    }

    void send(google::LogSeverity /*severity*/,
              const char * /*path*/,
              const char * /*file*/,
              int /*line*/,
              const struct tm * /*time*/,
              const char *message,
              std::size_t length) override
    {
        messages.emplace_back(message, length);
    }

    std::vector<std::string> messages;
};

task<void> failAfter(std::chrono::milliseconds delay)
{
    co_await sleepFor(delay);
    throw std::runtime_error("no rows");
}

/// A platform whose store has no members, is else unavailable and throws when the configuration is read. A daemon that goes on gets SIGTERM soon afterwards.
platform_port makeFailingPort(connection_pool & /*pool*/, const edge_settings & /*settings*/)
{
    platform_port port;
    port.store.history = [] {
        return std::uint64_t{0};
    };
    port.store.readAll = [](platform_table table) -> task<absl::StatusOr<table_changes>> {
        co_await sleepFor(std::chrono::milliseconds(20));
        if (table == platform_table::Configuration) {
            throw std::runtime_error("no rows");
        }
        co_return absl::UnavailableError("no store");
    };
    port.store.read = [](std::string /*key*/) -> task<absl::StatusOr<std::optional<row>>> {
        co_return absl::UnavailableError("no store");
    };
    port.store.scan = [](std::string /*prefix*/) -> task<absl::StatusOr<std::vector<row>>> {
        co_return std::vector<row>(); // The configuration is read after the members.
    };
    port.store.commit = [](transaction /*change*/) -> task<commit_outcome> {
        co_await sleepFor(std::chrono::milliseconds(200));
        std::raise(SIGTERM);
        co_return commit_outcome::Unknown;
    };
    return port;
}

}

// Guards against a process that goes on for ever without one of its duties.
TEST(spawn, a_failed_duty_ends_the_event_loop)
{
    for (const auto delay : {std::chrono::milliseconds(0), std::chrono::milliseconds(10)}) {
        const message_recorder recorder;
        asio::io_context loop(1);
        spawnDuty(loop, failAfter(delay), "follow_configuration");
        EXPECT_THROW(loop.run(), std::runtime_error);
        ASSERT_EQ(recorder.messages.size(), 1U);
        EXPECT_EQ(recorder.messages[0], "follow_configuration failed: no rows");
    }
}

// Guards against background work of one request that ends the process, or fails without a trace.
TEST(spawn, failed_background_work_is_logged)
{
    const message_recorder recorder;
    asio::io_context loop(1);
    spawnBackground(loop, failAfter(std::chrono::milliseconds(0)), "free_handle");
    EXPECT_NO_THROW(loop.run());
    ASSERT_EQ(recorder.messages.size(), 1U);
    EXPECT_EQ(recorder.messages[0], "free_handle failed: no rows");
}

// Guards against a daemon that serves with withdrawn API keys, because following the configuration has ended with an exception.
TEST(spawn, a_daemon_whose_duty_failed_exits_with_an_error)
{
    const message_recorder recorder;
    const edge_settings settings{.id = "daemon-1", .failureDomain = "domain-a"};
    const auto reload = [&]() -> absl::StatusOr<edge_settings> {
        return settings;
    };
    EXPECT_NE(runEdgeDaemon(settings, reload, makeFailingPort), 0);
    ASSERT_FALSE(recorder.messages.empty());
    EXPECT_EQ(recorder.messages[0], "follow_configuration failed: no rows");
}

}
