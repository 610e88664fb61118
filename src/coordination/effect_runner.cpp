#include "coordination/effect_runner.h"

#include "protocol/errors.h"
#include "protocol/tunables.h"
#include "transport/guarded_post.h"

#include <algorithm>
#include <charconv>
#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

namespace
{

std::string_view roleName(endpoint_role role)
{
    switch (role) {
    case endpoint_role::Prefill:
        return "prefill";
    case endpoint_role::Decode:
        return "decode";
    case endpoint_role::Mixed:
        break;
    }
    return "mixed";
}

nlohmann::json orderBody(const endpoint_order &order)
{
    nlohmann::json content;
    if (order.kind == order_kind::SetRole) {
        content = {{"kind", "set_role"}, {"role", roleName(order.role)}};
    } else {
        content = {{"kind", "load_model"}, {"model", order.model}};
    }
    return {{"fencing", order.epoch}, {"revision", order.revision}, {"order", content}};
}

nlohmann::json provisionBody(const provision_order &order)
{
    return {
        {"token", order.token},
        {"epoch", order.epoch},
        {"group", order.group},
        {"failure_domain", order.failureDomain},
        {"reclaimable", order.reclaimable},
        {"count", order.count},
        {"release", order.release},
    };
}

nlohmann::json usageBody(const usage_report &report)
{
    nlohmann::json figures = nlohmann::json::object();
    for (const auto &[organisation, sum] : report.figures) {
        figures[organisation] = {
            {"requests", sum.requests},
            {"prompt_tokens", sum.promptTokens},
            {"cached_tokens", sum.cachedTokens},
            {"output_tokens", sum.outputTokens},
            {"service_calls", sum.serviceCalls},
        };
    }
    return {{"cell", report.cell}, {"window", report.window}, {"epoch", report.epoch}, {"figures", figures}};
}

delivery_outcome toDeliveryOutcome(const post_result &result)
{
    if (result.progress == post_progress::NotSent) {
        return delivery_outcome::NotSent;
    }
    if (result.progress == post_progress::Unknown || result.status >= 500) {
        return delivery_outcome::Unknown;
    }
    if (result.status == 409) {
        return delivery_outcome::Fenced;
    }
    return result.status >= 200 && result.status < 300 ? delivery_outcome::Accepted : delivery_outcome::Refused;
}

std::vector<std::string> grantedEndpoints(const std::string &body)
{
    std::vector<std::string> granted;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("granted") || !json["granted"].is_array()) {
        return granted;
    }
    for (const auto &item : json["granted"]) {
        if (item.is_object() && item.contains("id") && item["id"].is_string()) {
            granted.push_back(item["id"].get<std::string>());
        }
    }
    return granted;
}

std::optional<socket_address> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    socket_address result;
    if (colon == std::string::npos || std::from_chars(text.data() + colon + 1, text.data() + text.size(), result.port).ec != std::errc()) {
        return std::nullopt;
    }
    result.host = text.substr(0, colon);
    return result;
}

/// Posts the body only while the sender's lease is valid, so that a former lease holder sends nothing.
post_result
postWhileLeaseValid(const socket_address &target, const std::string &path, const nlohmann::json &body, instant validUntil, const std::function<instant()> &now)
{
    return guardedPost(target.host, target.port, path, body.dump(), tunables::orderSendDeadline, [&] {
        return now() < validUntil;
    });
}

control_event makeFailureEvent(const read_row_effect &effect, const char *cause)
{
    return row_read_event{.op = effect.op, .result = makeError(absl::StatusCode::kInternal, "read row", "table service", cause)};
}

control_event makeFailureEvent(const scan_rows_effect &effect, const char *cause)
{
    return rows_scanned_event{.op = effect.op, .result = makeError(absl::StatusCode::kInternal, "scan rows", "table service", cause)};
}

control_event makeFailureEvent(const commit_effect &effect, const char * /*cause*/)
{
    return commit_event{.op = effect.op, .outcome = commit_outcome::Unknown};
}

control_event makeFailureEvent(const list_instances_effect &effect, const char *cause)
{
    return instances_event{.op = effect.op, .result = makeError(absl::StatusCode::kInternal, "list instances", "platform", cause)};
}

template <typename Order>
control_event makeFailureEvent(const Order &effect, const char * /*cause*/)
{
    return delivery_event{.op = effect.op, .outcome = delivery_outcome::Unknown};
}

instance_info parseInstance(const nlohmann::json &item)
{
    return {
        .id = item.value("id", ""),
        .address = item.value("address", ""),
        .callerAddress = item.value("caller_address", ""),
        .failureDomain = item.value("failure_domain", ""),
        .leaving = item.value("leaving", false),
    };
}

absl::StatusOr<std::vector<instance_info>> parseInstances(const std::string &body, std::string_view peer)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto &list = json.is_object() && json.contains("instances") ? json["instances"] : json;
    if (!list.is_array() || !std::ranges::all_of(list, &nlohmann::json::is_object)) {
        return makeError(absl::StatusCode::kInvalidArgument, "list instances", peer, "the response is not a list of instance objects");
    }
    std::vector<instance_info> result;
    try {
        std::ranges::transform(list, std::back_inserter(result), parseInstance);
    } catch (const nlohmann::json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "list instances", peer, error.what());
    }
    return result;
}

}

effect_runner::effect_runner(environment env, int threads)
    : m_environment(std::move(env))
    , m_pool(threads)
{
}

void effect_runner::submit(control_effect effect, std::function<void(control_event)> done)
{
    m_pool.submit([this, effect = std::move(effect), done = std::move(done)] {
        done(perform(effect));
    });
}

// The state machine waits for an event of every effect, so an exception, such as from a malformed response, becomes a failure event.
control_event effect_runner::perform(const control_effect &effect)
{
    return std::visit(
        [this](const auto &typed) {
            try {
                return run(typed);
            } catch (const std::exception &error) {
                LOG(WARNING) << "control effect failed with an exception: " << error.what();
                return makeFailureEvent(typed, error.what());
            }
        },
        effect);
}

control_event effect_runner::run(const read_row_effect &effect)
{
    return row_read_event{.op = effect.op, .result = m_environment.store.read(effect.key)};
}

control_event effect_runner::run(const scan_rows_effect &effect)
{
    return rows_scanned_event{.op = effect.op, .result = m_environment.store.scan(effect.prefix)};
}

control_event effect_runner::run(const commit_effect &effect)
{
    return commit_event{.op = effect.op, .outcome = m_environment.store.commit(effect.change)};
}

control_event effect_runner::run(const send_order_effect &effect)
{
    const auto address = m_environment.endpointAddress(effect.order.endpoint);
    const auto target = address ? parseAddress(*address) : std::nullopt;
    if (!target) {
        LOG(WARNING) << "cannot send order to endpoint " << effect.order.endpoint << ": no valid address in the configuration";
        return delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent};
    }
    const auto result = postWhileLeaseValid(*target, "/orders", orderBody(effect.order), effect.validUntil, m_environment.now);
    return delivery_event{.op = effect.op, .outcome = toDeliveryOutcome(result)};
}

control_event effect_runner::run(const send_provision_effect &effect)
{
    const auto result = postWhileLeaseValid(m_environment.platform, "/endpoints/orders", provisionBody(effect.order), effect.validUntil, m_environment.now);
    return delivery_event{.op = effect.op, .outcome = toDeliveryOutcome(result), .endpoints = grantedEndpoints(result.body)};
}

control_event effect_runner::run(const send_usage_effect &effect)
{
    const auto result = postWhileLeaseValid(m_environment.platform, "/usage/reports", usageBody(effect.report), effect.validUntil, m_environment.now);
    return delivery_event{.op = effect.op, .outcome = toDeliveryOutcome(result)};
}

control_event effect_runner::run(const list_instances_effect &effect)
{
    httplib::Client client(m_environment.platform.host, m_environment.platform.port);
    client.set_connection_timeout(tunables::storeTimeout);
    client.set_read_timeout(tunables::storeTimeout);
    const std::string peer = "platform " + m_environment.platform.host + ":" + std::to_string(m_environment.platform.port);
    const auto answer = client.Get("/instances");
    if (!answer || answer->status != 200) {
        const std::string cause = answer ? "status " + std::to_string(answer->status) : httplib::to_string(answer.error());
        return instances_event{.op = effect.op, .result = makeError(absl::StatusCode::kUnavailable, "list instances", peer, cause)};
    }
    return instances_event{.op = effect.op, .result = parseInstances(answer->body, peer)};
}

}
