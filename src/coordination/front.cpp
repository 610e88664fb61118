#include "coordination/front.h"

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
struct front_state
{
    serving_context &context;
    endpoint_client client;
    commit_batcher commits{context.store};
};

/// A request being answered. It is kept by the stream that answers it, beyond the handler.
struct running_request
{
    running_request(const std::shared_ptr<front_state> &front, routed_request routed, const httplib::Request &request)
        : state(front)
        , meter(front->context)
        , connection(request)
        , id(routed.session.requestId)
        , model(routed.session.kind == route_kind::Model ? routed.fields.value("model", std::string()) : std::string())
        , chat(routed.chat)
        , runner(front->context, *front->context.gate, front->client, front->commits, std::move(routed), [this] {
            return connection.gone();
        })
    {
    }

    /// Blocks until there is something for the caller.
    session_runner::output next()
    {
        auto output = runner.next();
        meter.note(output);
        return output;
    }

    std::shared_ptr<front_state> state;
    request_meter meter;
    caller_connection connection;
    std::string id;
    std::string model;
    bool chat;
    std::time_t createdAt = std::time(nullptr);
    session_runner runner;
    std::optional<session_runner::output> first; ///< Output taken before the stream began.
};

std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view runStateName(run_state state)
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

nlohmann::json errorBody(const refuse_effect &refused)
{
    return {{"error",
             {{"code", refused.code},
              {"message", refused.message},
              {"run_state", runStateName(refused.state)},
              {"retry_after_ms", static_cast<std::int64_t>(std::ceil(refused.retryAfterMs))}}}};
}

void answerRefusal(httplib::Response &response, const refuse_effect &refused)
{
    response.status = refused.status;
    if (refused.retryAfterMs > 0) {
        response.set_header("Retry-After", std::to_string(static_cast<std::int64_t>(std::ceil(refused.retryAfterMs / 1000))));
    }
    response.set_content(dumpJson(errorBody(refused)), "application/json");
}

// Refuses a request that gets no session.
void refuseUnstarted(const serving_context &context, httplib::Response &response, const refuse_effect &refused)
{
    if (context.measured != nullptr) {
        context.measured->count(metric_counter::Requests);
    }
    countRefusal(context, refused.state);
    answerRefusal(response, refused);
}

nlohmann::json usageBody(const usage_figures &figures)
{
    return {{"prompt_tokens", figures.promptTokens},
            {"completion_tokens", figures.outputTokens},
            {"total_tokens", figures.promptTokens + figures.outputTokens},
            {"prompt_tokens_details", {{"cached_tokens", figures.cachedTokens}}}};
}

nlohmann::json envelope(const running_request &running, nlohmann::json choice, std::string_view object)
{
    choice["index"] = 0;
    return {{"id", running.id}, {"object", object}, {"created", running.createdAt}, {"model", running.model}, {"choices", {std::move(choice)}}};
}

std::string tokenLine(const running_request &running, const std::string &text)
{
    nlohmann::json choice = {{"finish_reason", nullptr}};
    if (running.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    return "data: " + dumpJson(envelope(running, std::move(choice), running.chat ? "chat.completion.chunk" : "text_completion")) + "\n\n";
}

std::string finishLines(const running_request &running, const finish_effect &finish)
{
    nlohmann::json choice = {{"finish_reason", finish.finishReason}};
    if (running.chat) {
        choice["delta"] = nlohmann::json::object();
    } else {
        choice["text"] = "";
    }
    auto chunk = envelope(running, std::move(choice), running.chat ? "chat.completion.chunk" : "text_completion");
    chunk["usage"] = usageBody(finish.figures);
    return "data: " + dumpJson(chunk) + "\n\ndata: [DONE]\n\n";
}

bool writeText(httplib::DataSink &sink, const std::string &text)
{
    return sink.write(text.data(), text.size());
}

/// Writes one output to a stream; returns false to close the connection.
struct stream_writer
{
    const running_request &running;
    httplib::DataSink &sink;

    bool operator()(const deliver_token_effect &token) const
    {
        return writeText(sink, tokenLine(running, token.text));
    }
    bool operator()(const finish_effect &finish) const
    {
        const bool written = writeText(sink, finishLines(running, finish));
        sink.done();
        return written;
    }
    // The status line is gone already, so the error goes into the stream, which then ends without the end mark.
    bool operator()(const refuse_effect &refused) const
    {
        const bool written = writeText(sink, "data: " + dumpJson(errorBody(refused)) + "\n\n");
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

// Answers with a stream once the first token or the end is known; refusals before that keep their HTTP status.
void answerStream(const std::shared_ptr<running_request> &running, httplib::Response &response)
{
    running->first = running->next();
    if (const auto *refused = std::get_if<refuse_effect>(&*running->first)) {
        answerRefusal(response, *refused);
        return;
    }
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream", [running](std::size_t, httplib::DataSink &sink) {
        auto output = running->first ? *std::exchange(running->first, std::nullopt) : running->next();
        return std::visit(stream_writer{.running = *running, .sink = sink}, output);
    });
}

void answerWhole(running_request &running, httplib::Response &response)
{
    std::string text;
    while (true) {
        const auto output = running.next();
        if (const auto *token = std::get_if<deliver_token_effect>(&output)) {
            text += token->text;
            continue;
        }
        if (const auto *refused = std::get_if<refuse_effect>(&output)) {
            answerRefusal(response, *refused);
        } else if (const auto *finish = std::get_if<finish_effect>(&output)) {
            nlohmann::json choice = {{"finish_reason", finish->finishReason}};
            if (running.chat) {
                choice["message"] = {{"role", "assistant"}, {"content", text}};
            } else {
                choice["text"] = text;
            }
            auto body = envelope(running, std::move(choice), running.chat ? "chat.completion" : "text_completion");
            body["usage"] = usageBody(finish->figures);
            response.set_content(dumpJson(body), "application/json");
        }
        return;
    }
}

void serveCompletion(const std::shared_ptr<front_state> &state, const httplib::Request &request, httplib::Response &response, bool chat)
{
    auto parsed = parseCompletion(request, state->context, chat);
    if (const auto *refused = std::get_if<refuse_effect>(&parsed)) {
        refuseUnstarted(state->context, response, *refused);
        return;
    }
    auto &routed = std::get<routed_request>(parsed);
    const bool stream = routed.stream;
    const auto running = std::make_shared<running_request>(state, std::move(routed), request);
    response.set_header(requestIdHeader, running->id);
    if (stream) {
        answerStream(running, response);
    } else {
        answerWhole(*running, response);
    }
}

void serveService(const std::shared_ptr<front_state> &state, const httplib::Request &request, httplib::Response &response)
{
    auto parsed = parseServiceCall(request, state->context);
    if (const auto *refused = std::get_if<refuse_effect>(&parsed)) {
        refuseUnstarted(state->context, response, *refused);
        return;
    }
    running_request running(state, std::move(std::get<routed_request>(parsed)), request);
    response.set_header(requestIdHeader, running.id);
    const auto output = running.next();
    if (const auto *refused = std::get_if<refuse_effect>(&output)) {
        answerRefusal(response, *refused);
    } else if (const auto *delivered = std::get_if<deliver_answer_effect>(&output)) {
        response.status = delivered->answer.status;
        for (const auto &[name, value] : delivered->answer.headers) {
            response.headers.emplace(name, value);
        }
        response.set_content(delivered->answer.body, delivered->answer.contentType.empty() ? "application/octet-stream" : delivered->answer.contentType);
    }
}

// A caller may name its failure domain. Only names that a daemon carries are taken, so that no other text gets into the records.
std::string callerDomain(const httplib::Request &request, const std::vector<instance_info> &instances)
{
    const auto named = request.get_param_value("failure_domain");
    return std::ranges::find(instances, named, &instance_info::failureDomain) != instances.end() ? named : std::string();
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

nlohmann::json addressBody(const address_result &decided, const std::vector<instance_info> &instances)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto &address : decided.addresses) {
        const auto info = std::ranges::find(instances, address, &instance_info::callerAddress);
        addresses.push_back({{"address", address}, {"failure_domain", info->failureDomain}, {"draining", info->leaving}});
    }
    return {{"addresses", std::move(addresses)}, {"lifetime_ms", static_cast<std::int64_t>(decided.lifetimeMs)}};
}

void serveAddresses(const serving_context &context, const httplib::Request &request, httplib::Response &response)
{
    const auto caller = identifyCaller(request, context.config.current()->parsed);
    if (const auto *refused = std::get_if<refuse_effect>(&caller)) {
        refuseUnstarted(context, response, *refused);
        return;
    }
    const auto &match = std::get<caller_identity>(caller).match;
    const auto instances = context.instances();
    auto input = makeAddressInput(context, request, instances);
    // Callers of open routes have no organisation; their address spreads them.
    input.organisation = match ? match->organisation : request.remote_addr;
    const auto decided = decideAddresses(input);
    const auto id = makeRequestId();
    auto record = recordAddress(id + "/address", input, decided);
    record.requestId = id;
    context.decisions.write(record);
    response.set_header(requestIdHeader, id);
    response.set_content(dumpJson(addressBody(decided, instances)), "application/json");
}

void serveReadiness(const serving_context &context, httplib::Response &response)
{
    const bool ready = context.fresh() && !context.draining();
    response.status = ready ? 200 : 503;
    response.set_content(dumpJson({{"ready", ready}, {"fresh", context.fresh()}, {"draining", context.draining()}}), "application/json");
}

// Gives a JSON body to the errors that cpp-httplib finds itself, such as oversized bodies and malformed request lines.
void completeError(httplib::Response &response)
{
    if (!response.body.empty() || response.has_header(requestIdHeader)) {
        return; // An answer of a service is passed on as it is, also without a body.
    }
    const int status = response.status;
    refuse_effect refused = makeRefusal(status, "bad_request", "the request could not be read");
    if (status == 413) {
        refused = makeRefusal(status, "body_too_large", "the body is too large");
    } else if (status >= 500) {
        refused = makeRefusal(status, "internal_error", "the daemon could not answer the request");
        refused.state = run_state::Unknown; // Only the session knows what ran.
    }
    answerRefusal(response, refused);
}

void registerServiceRoutes(httplib::Server &server, const std::shared_ptr<front_state> &state)
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
    auto state = std::shared_ptr<front_state>(new front_state{.context = context});
    server.set_tcp_nodelay(true); // Tokens are small writes, which would otherwise wait for acknowledgements.
    server.set_payload_max_length(tunables::maxBodyBytes);
    server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        completeError(response);
    });
    // Replaces the handler of cpp-httplib, which puts the text of the exception into a header.
    server.set_exception_handler([](const httplib::Request &request, httplib::Response &response, const std::exception_ptr &) {
        LOG(ERROR) << "serve " << request.method << " [" << request.remote_addr << "]: unexpected exception";
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
