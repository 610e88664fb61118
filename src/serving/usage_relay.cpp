#include "serving/usage_relay.h"

#include "serving/feed_relay.h"
#include "serving/store_batch.h"
#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr const char *usagePath = "/usage";
constexpr auto batchDelay = std::chrono::milliseconds(400); // The windows of all daemons end at the same time, and their rows arrive within this time.
constexpr auto relayTimeout = std::chrono::milliseconds(2500); // The delay of the batch, and the time limit of the commit.
// A daemon with a relay calls a failing store itself at least this often. Until such a call succeeds, a commit of its own would fail like the relay's.
constexpr auto ownCallInterval = std::chrono::milliseconds(2400);
constexpr std::string_view usageRowPrefix = "usage/";

/// Waits for the batch that this row joins, and returns its outcome.
task<commit_outcome> joinBatch(edge_context &context, row_write write)
{
    if (!context.usageBatch) {
        context.usageBatch = std::make_shared<pending_batch>(context.loop);
        context.usageBatch->due = bootNow() + batchDelay;
    }
    const auto batch = context.usageBatch;
    batch->writes.push_back(std::move(write));
    const bool commits = batch->writes.size() == 1; // The first one commits for all.
    if (!commits) {
        boost::system::error_code ignored; // The timer is cancelled when the outcome is known.
        co_await batch->done.async_wait(errorTo(ignored));
        co_return batch->outcome;
    }
    while (bootNow() < batch->due && !context.stopping) {
        co_await sleepFor(batch->due - bootNow());
    }
    context.usageBatch.reset();
    batch->outcome = co_await commitInParts(context, batch->writes);
    batch->done.cancel();
    co_return batch->outcome;
}

task<commit_outcome> writeThroughRelay(edge_context &context, std::string relay, row_write write)
{
    const auto member = context.members.find(relay);
    const auto address
        = member == context.members.end() ? absl::NotFoundError(absl::StrCat("relay ", relay, " is not a member")) : parseAddress(member->second.address);
    if (!address.ok()) {
        co_return commit_outcome::Unavailable;
    }
    http_request request(http::verb::post, usagePath, 11);
    request.body() = nlohmann::json{{"key", write.key}, {"value", write.value.value_or("")}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.prepare_payload();
    const exchange_options options{.deadline = bootNow() + relayTimeout};
    const auto answer = co_await callServer(context.pool, *address, std::move(request), options);
    co_return answer.ok() && answer->result() == http::status::ok ? commit_outcome::Committed : commit_outcome::Unknown;
}

}

task<commit_outcome> writeFinalUsage(edge_context &context, row_write write)
{
    const auto role = feedRole(context);
    if (role.relaysForOthers) {
        co_return co_await joinBatch(context, std::move(write));
    }
    if (!role.relays.empty()) {
        // The first relay only: with half of the rows each, two relays would make twice the calls.
        const auto outcome = co_await writeThroughRelay(context, *std::ranges::min_element(role.relays), write);
        if (outcome == commit_outcome::Committed) {
            co_return outcome;
        }
        context.counters.count(metric_counter::PeerFailures);
        if (context.storeFailedAt != instant{} && bootNow() - context.storeFailedAt < ownCallInterval) {
            co_return outcome;
        }
    }
    transaction commit{.writes = {std::move(write)}};
    const auto outcome = co_await context.platform.store.commit(std::move(commit));
    context.counters.count(metric_counter::StoreWrites);
    co_return outcome;
}

bool isUsageWrite(const received_request &request)
{
    return request.message.method() == http::verb::post && toView(request.message.target()) == usagePath;
}

task<void> serveUsageWrite(edge_context &context, received_request &request, server_reply &reply)
{
    const auto body = nlohmann::json::parse(request.message.body(), nullptr, false);
    const auto text = [&](const char *name) {
        return body.is_object() && body.contains(name) && body[name].is_string() ? body[name].get<std::string>() : std::string();
    };
    row_write write{.key = text("key"), .value = text("value")};
    auto status = http::status::ok;
    if (!isMemberAddress(context, request.remote)) {
        status = http::status::forbidden;
    } else if (!write.key.starts_with(usageRowPrefix) || write.value->empty()) {
        status = http::status::bad_request;
    } else if (co_await joinBatch(context, std::move(write)) != commit_outcome::Committed) {
        status = http::status::service_unavailable;
    }
    co_await reply.send(http_response(status, 11));
}

}
