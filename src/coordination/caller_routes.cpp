#include "coordination/caller_routes.h"

#include "coordination/address_planner.h"
#include "coordination/caller_connection.h"
#include "coordination/caller_request.h"
#include "coordination/request_meter.h"
#include "coordination/session_runner.h"
#include "protocol/decision_codec.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <exception>
#include <glog/logging.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr const char *requestIdHeader = "X-Request-Id";

/// Shared by all handlers of one daemon.
struct caller_route_state
{
    serving_context &context;
    endpoint_client client;
    commit_batcher commits{context.store};
};

/// A request in progress. For a streamed response, the content provider keeps it alive after the handler has returned.
struct active_request
{
    active_request(const std::shared_ptr<caller_route_state> &routeState, routed_request routed, const httplib::Request &request)
        : state(routeState)
        , meter(routeState->context)
        , connection(request)
        , id(routed.session.requestId)
        , model(routed.session.kind == route_kind::Model ? routed.fields.value("model", std::string()) : std::string())
        , chat(routed.chat)
        , runner(routeState->context, *routeState->context.admissionGate, routeState->client, routeState->commits, std::move(routed), [this] {
            return connection.isClosedByCaller();
        })
    {
    }

    /// Blocks until the session has output for the caller.
    session_runner::output next()
    {
        auto output = runner.next();
        meter.record(output);
        return output;
    }

    std::shared_ptr<caller_route_state> state;
    request_meter meter;
    caller_connection connection;
    std::string id;
    std::string model;
    bool chat;
    std::time_t createdAtSeconds = std::time(nullptr);
    session_runner runner;
    std::optional<session_runner::output> firstOutput; ///< Output received before the response headers were sent, to be written first.
};

std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view toString(run_state state)
{
    switch (state) {
    case run_state::NotRun:
        return "not_run";
    case run_state::Partial:
        return "partial";
    case run_state::Unknown:
        break;
    }
    return "unknown";
}

nlohmann::json makeErrorBody(const refuse_effect &refused)
{
    return {{"error",
             {{"code", refused.code},
              {"message", refused.message},
              {"run_state", toString(refused.state)},
              {"retry_after_ms", static_cast<std::int64_t>(std::ceil(refused.retryAfterMs))}}}};
}

void sendRefusal(httplib::Response &response, const refuse_effect &refused)
{
    response.status = refused.status;
    if (refused.retryAfterMs > 0) {
        response.set_header("Retry-After", std::to_string(static_cast<std::int64_t>(std::ceil(refused.retryAfterMs / 1000))));
    }
    response.set_content(dumpJson(makeErrorBody(refused)), "application/json");
}

// Refuses a request before a session exists, and counts it.
void refuseWithoutSession(const serving_context &context, httplib::Response &response, const refuse_effect &refused)
{
    if (context.metricsRegistry != nullptr) {
        context.metricsRegistry->count(metric_counter::Requests);
    }
    countRefusal(context, refused.state);
    sendRefusal(response, refused);
}

nlohmann::json makeUsageBody(const usage_figures &figures)
{
    return {{"prompt_tokens", figures.promptTokens},
            {"completion_tokens", figures.outputTokens},
            {"total_tokens", figures.promptTokens + figures.outputTokens},
            {"prompt_tokens_details", {{"cached_tokens", figures.cachedTokens}}}};
}

nlohmann::json completionObject(const active_request &running, nlohmann::json choice, std::string_view object)
{
    choice["index"] = 0;
    return {{"id", running.id}, {"object", object}, {"created", running.createdAtSeconds}, {"model", running.model}, {"choices", {std::move(choice)}}};
}

std::string formatTokenEvent(const active_request &running, const std::string &text)
{
    nlohmann::json choice = {{"finish_reason", nullptr}};
    if (running.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    return "data: " + dumpJson(completionObject(running, std::move(choice), running.chat ? "chat.completion.chunk" : "text_completion")) + "\n\n";
}

std::string formatFinishEvents(const active_request &running, const finish_effect &finish)
{
    nlohmann::json choice = {{"finish_reason", finish.finishReason}};
    if (running.chat) {
        choice["delta"] = nlohmann::json::object();
    } else {
        choice["text"] = "";
    }
    auto chunk = completionObject(running, std::move(choice), running.chat ? "chat.completion.chunk" : "text_completion");
    chunk["usage"] = makeUsageBody(finish.figures);
    return "data: " + dumpJson(chunk) + "\n\ndata: [DONE]\n\n";
}

bool writeToSink(httplib::DataSink &sink, const std::string &text)
{
    return sink.write(text.data(), text.size());
}

/// Writes one session output to a stream. Returns false to close the connection.
struct stream_writer
{
    const active_request &running;
    httplib::DataSink &sink;

    bool operator()(const deliver_token_effect &token) const
    {
        return writeToSink(sink, formatTokenEvent(running, token.text));
    }
    bool operator()(const finish_effect &finish) const
    {
        const bool written = writeToSink(sink, formatFinishEvents(running, finish));
        sink.done();
        return written;
    }
    // The status line is already sent, so the error is written as an event, and the stream ends without `[DONE]`.
    bool operator()(const refuse_effect &refused) const
    {
        const bool written = writeToSink(sink, "data: " + dumpJson(makeErrorBody(refused)) + "\n\n");
        sink.done();
        return written;
    }
    bool operator()(const deliver_answer_effect &) const
    {
        return false;
    }
    bool operator()(const abandon_effect &) const
    {
        return false;
    }
};

// Starts a streamed response once the first token or the end of the output arrives. A refusal before that is sent with its HTTP status.
void sendStream(const std::shared_ptr<active_request> &running, httplib::Response &response)
{
    running->firstOutput = running->next();
    if (const auto *refused = std::get_if<refuse_effect>(&*running->firstOutput)) {
        sendRefusal(response, *refused);
        return;
    }
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream", [running](std::size_t, httplib::DataSink &sink) {
        auto output = running->firstOutput ? *std::exchange(running->firstOutput, std::nullopt) : running->next();
        return std::visit(stream_writer{.running = *running, .sink = sink}, output);
    });
}

void sendCompletion(active_request &running, httplib::Response &response)
{
    std::string text;
    while (true) {
        const auto output = running.next();
        if (const auto *token = std::get_if<deliver_token_effect>(&output)) {
            text += token->text;
            continue;
        }
        if (const auto *refused = std::get_if<refuse_effect>(&output)) {
            sendRefusal(response, *refused);
        } else if (const auto *finish = std::get_if<finish_effect>(&output)) {
            nlohmann::json choice = {{"finish_reason", finish->finishReason}};
            if (running.chat) {
                choice["message"] = {{"role", "assistant"}, {"content", text}};
            } else {
                choice["text"] = text;
            }
            auto body = completionObject(running, std::move(choice), running.chat ? "chat.completion" : "text_completion");
            body["usage"] = makeUsageBody(finish->figures);
            response.set_content(dumpJson(body), "application/json");
        }
        return;
    }
}

void serveCompletion(const std::shared_ptr<caller_route_state> &state, const httplib::Request &request, httplib::Response &response, bool chat)
{
    auto parsed = parseCompletion(request, state->context, chat);
    if (const auto *refused = std::get_if<refuse_effect>(&parsed)) {
        refuseWithoutSession(state->context, response, *refused);
        return;
    }
    auto &routed = std::get<routed_request>(parsed);
    const bool stream = routed.stream;
    const auto running = std::make_shared<active_request>(state, std::move(routed), request);
    response.set_header(requestIdHeader, running->id);
    if (stream) {
        sendStream(running, response);
    } else {
        sendCompletion(*running, response);
    }
}

void serveService(const std::shared_ptr<caller_route_state> &state, const httplib::Request &request, httplib::Response &response)
{
    auto parsed = parseServiceCall(request, state->context);
    if (const auto *refused = std::get_if<refuse_effect>(&parsed)) {
        refuseWithoutSession(state->context, response, *refused);
        return;
    }
    active_request running(state, std::move(std::get<routed_request>(parsed)), request);
    response.set_header(requestIdHeader, running.id);
    const auto output = running.next();
    if (const auto *refused = std::get_if<refuse_effect>(&output)) {
        sendRefusal(response, *refused);
    } else if (const auto *delivered = std::get_if<deliver_answer_effect>(&output)) {
        response.status = delivered->answer.status;
        for (const auto &[name, value] : delivered->answer.headers) {
            response.headers.emplace(name, value);
        }
        response.set_content(delivered->answer.body, delivered->answer.contentType.empty() ? "application/octet-stream" : delivered->answer.contentType);
    }
}

// Returns the failure domain that the caller names, or an empty text unless a daemon is in that domain, so that no arbitrary text from callers gets
// into the decision records.
std::string callerDomain(const httplib::Request &request, const std::vector<instance_info> &instances)
{
    const auto requestedDomain = request.get_param_value("failure_domain");
    return std::ranges::find(instances, requestedDomain, &instance_info::failureDomain) != instances.end() ? requestedDomain : std::string();
}

address_input makeAddressInput(const serving_context &context, const httplib::Request &request, const std::vector<instance_info> &instances)
{
    address_input input{.configVersion = context.config.current()->parsed.version, .callerDomain = callerDomain(request, instances)};
    for (const auto &info : instances) {
        input.daemons.push_back(
            {.instanceId = info.id, .address = info.callerAddress, .failureDomain = info.failureDomain, .draining = info.leaving, .load = info.load});
    }
    return input;
}

nlohmann::json makeAddressBody(const address_result &decision, const std::vector<instance_info> &instances)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto &address : decision.addresses) {
        const auto info = std::ranges::find(instances, address, &instance_info::callerAddress);
        addresses.push_back({{"address", address}, {"failure_domain", info->failureDomain}, {"draining", info->leaving}});
    }
    return {{"addresses", std::move(addresses)}, {"lifetime_ms", static_cast<std::int64_t>(decision.lifetimeMs)}};
}

void serveAddresses(const serving_context &context, const httplib::Request &request, httplib::Response &response)
{
    const auto caller = identifyCaller(request, context.config.current()->parsed);
    if (const auto *refused = std::get_if<refuse_effect>(&caller)) {
        refuseWithoutSession(context, response, *refused);
        return;
    }
    const auto &match = std::get<caller_identity>(caller).match;
    const auto instances = context.instances();
    auto input = makeAddressInput(context, request, instances);
    // Callers without a key have no organisation; their IP address is used instead, to spread them over the daemons.
    input.organisation = match ? match->organisation : request.remote_addr;
    const auto decision = decideAddresses(input);
    const auto id = makeRequestId();
    auto record = recordAddress(id + "/address", input, decision);
    record.requestId = id;
    context.decisions.write(record);
    response.set_header(requestIdHeader, id);
    response.set_content(dumpJson(makeAddressBody(decision, instances)), "application/json");
}

void serveReadiness(const serving_context &context, httplib::Response &response)
{
    const bool ready = context.fresh() && !context.draining();
    response.status = ready ? 200 : 503;
    response.set_content(dumpJson({{"ready", ready}, {"fresh", context.fresh()}, {"draining", context.draining()}}), "application/json");
}

// Adds a JSON body to errors that cpp-httplib itself detects, such as oversized bodies and malformed request lines.
void fillErrorBody(httplib::Response &response)
{
    if (!response.body.empty() || response.has_header(requestIdHeader)) {
        return; // A response of a service is forwarded unchanged, even without a body.
    }
    const int status = response.status;
    refuse_effect refused = makeRefusal(status, "bad_request", "the request could not be read");
    if (status == 413) {
        refused = makeRefusal(status, "body_too_large", "the body is too large");
    } else if (status >= 500) {
        refused = makeRefusal(status, "internal_error", "the daemon could not answer the request");
        refused.state = run_state::Unknown; // The request may have run; that state was lost with the session.
    }
    sendRefusal(response, refused);
}

void registerServiceRoutes(httplib::Server &server, const std::shared_ptr<caller_route_state> &state)
{
    const auto serve = [state](const httplib::Request &request, httplib::Response &response) {
        serveService(state, request, response);
    };
    server.Get(".*", serve);
    server.Post(".*", serve);
    server.Put(".*", serve);
    server.Patch(".*", serve);
    server.Delete(".*", serve);
}

}

void registerCallerRoutes(httplib::Server &server, serving_context &context)
{
    auto state = std::shared_ptr<caller_route_state>(new caller_route_state{.context = context});
    server.set_tcp_nodelay(true); // Tokens are small writes, which Nagle's algorithm would delay until earlier ones are acknowledged.
    server.set_payload_max_length(tunables::maxBodyBytes);
    server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        fillErrorBody(response);
    });
    // Replaces the default handler of cpp-httplib, which exposes the text of the exception in a response header.
    server.set_exception_handler([](const httplib::Request &request, httplib::Response &response, const std::exception_ptr &) {
        LOG(ERROR) << "serve " << request.method << " request [" << request.remote_addr << "]: unexpected exception in the handler, answered with status 500";
        response.status = 500;
    });
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"ok":true})", "application/json");
    });
    server.Get("/readyz", [&context](const httplib::Request &, httplib::Response &response) {
        serveReadiness(context, response);
    });
    server.Get("/v1/addresses", [&context](const httplib::Request &request, httplib::Response &response) {
        serveAddresses(context, request, response);
    });
    server.Post("/v1/completions", [state](const httplib::Request &request, httplib::Response &response) {
        serveCompletion(state, request, response, false);
    });
    server.Post("/v1/chat/completions", [state](const httplib::Request &request, httplib::Response &response) {
        serveCompletion(state, request, response, true);
    });
    registerServiceRoutes(server, state);
}

int requestsInFlight(const serving_context &context)
{
    return *context.callerRequests;
}

}
