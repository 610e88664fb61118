#include "coordination/operator_interface.h"

#include "coordination/operator_edits.h"
#include "coordination/usage_keeper.h"
#include "protocol/api_keys.h"

#include <algorithm>
#include <httplib.h>

namespace lacewinglock
{

namespace
{

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr const char *endpointRoleNames[] = {"mixed", "prefill", "decode"};

bool authorised(const Request &request, const operator_context &context)
{
    const std::string header = request.get_header_value("Authorization");
    if (!std::string_view(header).starts_with(bearerPrefix)) {
        return false;
    }
    return equalConstantTime(sha256Hex(std::string_view(header).substr(bearerPrefix.size())), context.operatorTokenHash);
}

/// Returns the operator's name as recorded in the patch row. It has no effect on authorisation.
std::string authorOf(const Request &request)
{
    const std::string name = request.get_header_value("X-Operator-Name");
    return name.empty() ? "operator" : name;
}

void send(Response &response, const operator_response &result)
{
    response.status = result.status;
    response.set_content(result.body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n", "application/json");
}

operator_response getConfig(operator_context &context)
{
    if (const auto stored = context.editor.load(); stored.ok()) {
        return {200,
                {{"version", stored->version}, {"in_force", context.heldByMajority(stored->version)}, {"source", "store"}, {"document", stored->document}}};
    }
    const auto heldConfig = context.serving.config.current();
    const json document = heldConfig->document.is_object() ? heldConfig->document : json::object();
    return {200,
            {{"version", heldConfig->parsed.version},
             {"in_force", context.heldByMajority(heldConfig->parsed.version)},
             {"source", "daemon"},
             {"document", document}}};
}

operator_response postPatch(operator_context &context, const Request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || body.size() != 2 || !body.contains("patch") || !body.contains("base_version") || !body["base_version"].is_number_unsigned()) {
        return operatorError(400, "invalid", "the body must be {\"base_version\": N, \"patch\": {...}}");
    }
    return handlePatch(context, {.baseVersion = body["base_version"], .patch = body["patch"], .author = authorOf(request)});
}

operator_response postKey(operator_context &context, const Request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return operatorError(400, "invalid", "the body must be a JSON object");
    }
    return handleKeyCreate(context, body, authorOf(request));
}

json describeEndpoints(const operator_context &context)
{
    json list = json::array();
    for (const auto &report : context.serving.endpoints.reports(context.serving.now())) {
        list.push_back({{"id", report.endpoint},
                        {"reachable", report.reachable},
                        {"leaving", report.leaving},
                        {"role", endpointRoleNames[static_cast<std::size_t>(report.role)]},
                        {"changing_role", report.changingRole},
                        {"running_streams", report.runningStreams},
                        {"queued_prompt_tokens", report.queuedPromptTokens},
                        {"report_age_ms", report.ageMs}});
    }
    return list;
}

operator_response getStatus(operator_context &context)
{
    const auto &serving = context.serving;
    const std::uint64_t version = serving.config.current()->parsed.version;
    json instances = json::array();
    for (const auto &each : serving.instances()) {
        instances.push_back({{"id", each.id}, {"address", each.callerAddress}, {"failure_domain", each.failureDomain}, {"leaving", each.leaving}});
    }
    json leases = json::array();
    for (const auto &each : context.leases()) {
        leases.push_back({{"duty", each.duty}, {"holder", each.holder}, {"epoch", each.epoch}, {"held_here", each.heldHere}});
    }
    return {200,
            {{"instance", serving.instanceId},
             {"incarnation", serving.incarnation},
             {"cell", serving.cell},
             {"failure_domain", serving.failureDomain},
             {"version", version},
             {"in_force", context.heldByMajority(version)},
             {"fresh", serving.fresh()},
             {"draining", serving.draining()},
             {"roster", context.roster()},
             {"instances", std::move(instances)},
             {"leases", std::move(leases)},
             {"endpoints", describeEndpoints(context)}}};
}

operator_response getUsage(operator_context &context, const Request &request)
{
    const std::string window = request.get_param_value("window");
    if (window.empty() || window.size() > 19 || !std::ranges::all_of(window, [](char each) {
            return each >= '0' && each <= '9';
        })) {
        return operatorError(400, "invalid", "window must be a number");
    }
    const auto found = context.serving.store.read(windowKey(context.serving.cell, std::stoull(window)));
    if (!found.ok()) {
        return operatorError(503, "store_unavailable", std::string(found.status().message()));
    }
    if (!*found) {
        return operatorError(404, "not_found", "window " + window + " is not closed yet or does not exist");
    }
    return {200, {{"cell", context.serving.cell}, {"window", std::stoull(window)}, {"row", json::parse((*found)->value, nullptr, false)}}};
}

operator_response getDecisions(operator_context &context, const Request &request)
{
    json list = json::array();
    for (const auto &record : context.recentDecisions.find(request.get_param_value("request"))) {
        list.push_back({{"decision", record.id},
                        {"kind", record.kind},
                        {"request", record.requestId},
                        {"config_version", record.configVersion},
                        {"input", json::parse(record.input, nullptr, false)},
                        {"result", json::parse(record.result, nullptr, false)}});
    }
    return {200, {{"decisions", std::move(list)}}};
}

/// Wraps a handler so that it runs only with a valid operator token.
template <typename Handler>
httplib::Server::Handler requireToken(operator_context &context, Handler handler)
{
    return [&context, handler](const Request &request, Response &response) {
        if (!authorised(request, context)) {
            response.set_header("WWW-Authenticate", "Bearer");
            send(response, operatorError(401, "unauthorised", "a valid operator token is required"));
            return;
        }
        send(response, handler(context, request));
    };
}

}

void registerOperatorRoutes(httplib::Server &server, operator_context &context)
{
    const auto withoutRequest = [](operator_response (*handler)(operator_context &)) {
        return [handler](operator_context &target, const Request &) {
            return handler(target);
        };
    };
    server.Get("/operator/v1/config", requireToken(context, withoutRequest(getConfig)));
    server.Get("/operator/v1/status", requireToken(context, withoutRequest(getStatus)));
    server.Get("/operator/v1/usage", requireToken(context, getUsage));
    server.Get("/operator/v1/decisions", requireToken(context, getDecisions));
    server.Post("/operator/v1/patch", requireToken(context, postPatch));
    server.Post("/operator/v1/keys", requireToken(context, postKey));
    server.Post(R"(/operator/v1/keys/([A-Za-z0-9._-]+)/withdraw)", requireToken(context, [](operator_context &target, const Request &request) {
                    return handleKeyWithdraw(target, request.matches[1], authorOf(request));
                }));
    server.Get(R"(/operator/v1/patch/([0-9]+-[0-9a-f]+))", requireToken(context, [](operator_context &target, const Request &request) {
                   return handlePatchStatus(target, request.matches[1]);
               }));
}

}
