#include "coordination/endpoint_client.h"

#include "coordination/forwarded_headers.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxLineBytes = 1U << 20U; // A chunk carries one token, so a longer line is malformed.
constexpr std::size_t maxIdlePerEndpoint = 32;
// Well below the keep-alive time of servers, because a connection that the server closes during a call looks like a crash.
constexpr auto maxIdleTime = std::chrono::seconds(1);
constexpr auto connectTimeout = std::chrono::seconds(1); // Network round trips to endpoints take a few milliseconds.
constexpr auto minReadTimeout = std::chrono::milliseconds(1);

// Outcome of one HTTP exchange without the response body.
struct exchange_result
{
    httplib::Response response;
    httplib::Error error = httplib::Error::Success; ///< cpp-httplib leaves it unchanged when a request on a reused connection succeeds.
    bool attemptIdAccepted = false; ///< The response carried the attempt's id, or none where that is allowed.
};

std::pair<std::string, int> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    int port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    return {address.substr(0, colon), port};
}

httplib::Request makeRequest(const endpoint_call &call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.headers = call.headers;
    request.body = call.body;
    request.set_header("X-Attempt-Id", call.attemptId);
    return request;
}

attempt_failed_event makeFailure(const endpoint_call &call, attempt_failure failure, std::string_view detail)
{
    return {.attemptId = call.attemptId, .failure = failure, .detail = "call endpoint [" + call.address + "]: " + std::string(detail)};
}

// Classifies an exchange that failed without a complete response. Only a failed connect guarantees that nothing was sent.
attempt_failed_event classifyError(const endpoint_call &call, const exchange_result &result, duration elapsed)
{
    switch (result.error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return makeFailure(call, attempt_failure::NotSent, "connection failed");
    default:
        break;
    }
    const duration limit = std::min<duration>(call.remainingTime, tunables::attemptIdleTimeout);
    if (elapsed >= limit) {
        return makeFailure(call, attempt_failure::TimedOut, "no answer in time");
    }
    return makeFailure(call, attempt_failure::ConnectionLost, "connection lost after sending: " + httplib::to_string(result.error));
}

attempt_failed_event classifyStatus(const endpoint_call &call, const exchange_result &result)
{
    const int status = result.response.status;
    const std::string detail = "status " + std::to_string(status);
    if (!result.attemptIdAccepted) {
        return makeFailure(call, attempt_failure::BadAnswer, "the answer belongs to another attempt");
    }
    if (status == 503 || status == 429) {
        return makeFailure(call, attempt_failure::Refused, detail);
    }
    return makeFailure(call, status >= 400 && status < 500 ? attempt_failure::Rejected : attempt_failure::BadAnswer, detail);
}

// Whether a response must carry the header X-Attempt-Id. Plain services need not support the header: their responses are matched by the
// connection, which carries one request at a time. A header with another id is rejected in both cases.
enum class attempt_id_echo {
    Required,
    Optional
};

// Sends the request and passes the response status and body to `receive` as bytes arrive. The body of a response to another attempt is
// not read.
template <typename Receive>
exchange_result sendRequest(httplib::Client &client, const endpoint_call &call, const call_control &control, attempt_id_echo echo, Receive receive)
{
    exchange_result result;
    httplib::Request request = makeRequest(call);
    int status = 0;
    request.response_handler = [&](const httplib::Response &response) {
        status = response.status;
        const auto echoedId = response.get_header_value("X-Attempt-Id");
        result.attemptIdAccepted = echoedId == call.attemptId || (echoedId.empty() && echo == attempt_id_echo::Optional);
        return result.attemptIdAccepted && !control.cancelled();
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        return !control.cancelled() && receive(status, std::string_view(data, size));
    };
    if (!client.send(request, result.response, result.error) && result.error == httplib::Error::Success) {
        result.error = httplib::Error::Unknown;
    }
    if (status != 0) {
        result.response.status = status;
    }
    return result;
}

}

void call_control::cancel()
{
    m_cancelled = true;
    const std::lock_guard lock(m_mutex);
    if (m_connection) {
        m_connection->stop();
    }
}

bool call_control::cancelled() const
{
    return m_cancelled;
}

void call_control::attach(std::shared_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    m_connection = std::move(client);
}

void call_control::detach()
{
    const std::lock_guard lock(m_mutex);
    m_connection.reset();
}

stream_parser::stream_parser(std::string attemptId, bool chat, event_function emit)
    : m_emit(std::move(emit))
    , m_chat(chat)
    , m_finish{.attemptId = std::move(attemptId)}
{
}

bool stream_parser::feed(std::string_view bytes)
{
    m_partialLine.append(bytes);
    std::size_t begin = 0;
    for (auto end = m_partialLine.find('\n'); end != std::string::npos; end = m_partialLine.find('\n', begin)) {
        std::string_view line(m_partialLine.data() + begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!parseLine(line)) {
            return false;
        }
        begin = end + 1;
    }
    m_partialLine.erase(0, begin);
    return m_partialLine.size() <= maxLineBytes || fail("line too long");
}

bool stream_parser::complete() const
{
    return m_finishReasonSeen && m_doneMarkSeen;
}

const std::string &stream_parser::problem() const
{
    return m_problem;
}

stream_finished_event stream_parser::finish() const
{
    return m_finish;
}

bool stream_parser::parseLine(std::string_view line)
{
    constexpr std::string_view prefix = "data:";
    if (line.empty() || line.starts_with(':')) {
        return true;
    }
    if (!line.starts_with(prefix) || m_doneMarkSeen) {
        return fail("unexpected line");
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (line == "[DONE]") {
        m_doneMarkSeen = true;
        return m_finishReasonSeen || fail("end mark without finish reason");
    }
    return parseChunk(line);
}

// Validates one chunk and emits its token. The JSON library throws on wrong types and missing fields.
bool stream_parser::parseChunk(std::string_view text)
{
    try {
        const auto chunk = nlohmann::json::parse(text);
        if (chunk.at("id").get<std::string>() != m_finish.attemptId) {
            return fail("chunk of another attempt");
        }
        const auto &choice = chunk.at("choices").at(0);
        if (m_finishReasonSeen) {
            return fail("chunk after the finish reason");
        }
        std::string token;
        if (m_chat) {
            token = choice.value("delta", nlohmann::json::object()).value("content", std::string());
        } else {
            token = choice.value("text", std::string());
        }
        const bool last = choice.contains("finish_reason") && !choice.at("finish_reason").is_null();
        if (!token.empty() || !last) {
            m_emit(token_event{.attemptId = m_finish.attemptId, .index = chunk.at("index").get<std::uint64_t>(), .text = std::move(token)});
        }
        return !last || parseFinish(chunk, choice);
    } catch (const nlohmann::json::exception &) {
        return fail("malformed chunk");
    }
}

bool stream_parser::parseFinish(const nlohmann::json &chunk, const nlohmann::json &choice)
{
    const auto &usage = chunk.at("usage");
    m_finish.finishReason = choice.at("finish_reason").get<std::string>();
    m_finish.promptTokens = usage.at("prompt_tokens").get<std::uint64_t>();
    m_finish.completionTokens = usage.at("completion_tokens").get<std::uint64_t>();
    m_finish.cachedTokens = usage.value("cached_tokens", std::uint64_t{0});
    m_finishReasonSeen = true;
    return true;
}

bool stream_parser::fail(std::string problem)
{
    m_problem = std::move(problem);
    return false;
}

// The connection is reused only after a complete, well-formed response; otherwise it is closed.
void endpoint_client::streamCompletion(const endpoint_call &call, call_control &control, const event_function &emit)
{
    const auto client = acquire(call);
    control.attach(client);
    if (control.cancelled()) {
        emit(makeFailure(call, attempt_failure::NotSent, "cancelled before sending"));
        return;
    }
    stream_parser parser(call.attemptId, call.chat, emit);
    auto lastByte = std::chrono::steady_clock::now();
    const exchange_result result = sendRequest(*client, call, control, attempt_id_echo::Required, [&](int status, std::string_view bytes) {
        lastByte = std::chrono::steady_clock::now();
        return status != 200 || parser.feed(bytes);
    });
    control.detach();
    if (!parser.problem().empty()) {
        emit(makeFailure(call, attempt_failure::BadAnswer, parser.problem()));
    } else if (result.response.status > 0 && (!result.attemptIdAccepted || result.response.status != 200)) {
        emit(classifyStatus(call, result));
    } else if (result.error != httplib::Error::Success) {
        emit(classifyError(call, result, std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - lastByte)));
    } else if (!parser.complete()) {
        // An engine that crashes while its connection closes in order leaves a stream that ends early without an error.
        emit(makeFailure(call, attempt_failure::ConnectionLost, "truncated stream"));
    } else {
        release(call.address, client);
        emit(parser.finish());
    }
}

// Any status of a response to this attempt is passed on to the caller, except 503 and 429 for a repeatable request, which fail the attempt
// so that it can be retried.
void endpoint_client::callService(const endpoint_call &call, call_control &control, const event_function &emit)
{
    const auto client = acquire(call);
    control.attach(client);
    if (control.cancelled()) {
        emit(makeFailure(call, attempt_failure::NotSent, "cancelled before sending"));
        return;
    }
    std::string body;
    const auto startedAt = std::chrono::steady_clock::now();
    const exchange_result result = sendRequest(*client, call, control, attempt_id_echo::Optional, [&](int, std::string_view bytes) {
        body.append(bytes);
        return body.size() <= tunables::maxBodyBytes;
    });
    control.detach();
    const int status = result.response.status;
    // A service may have run a request before it answers 503, so for a non-repeatable request this response is the outcome.
    const bool retryable = !call.useNewConnection && (status == 503 || status == 429);
    if (status > 0 && (!result.attemptIdAccepted || retryable)) {
        emit(classifyStatus(call, result));
    } else if (result.error != httplib::Error::Success) {
        emit(classifyError(call, result, std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - startedAt)));
    } else {
        if (!call.useNewConnection) {
            release(call.address, client);
        }
        emit(service_answer_event{
            .attemptId = call.attemptId,
            .answer = {.status = status,
                       .contentType = result.response.get_header_value("Content-Type"),
                       .body = std::move(body),
                       .headers = forwardedResponseHeaders(result.response.headers)},
        });
    }
}

endpoint_client::client_ptr endpoint_client::acquire(const endpoint_call &call)
{
    client_ptr client;
    if (!call.useNewConnection) {
        const std::lock_guard lock(m_mutex);
        if (auto &idle = m_idle[call.address]; !idle.empty()) {
            // The last connection was used most recently; if it is too old, all others are as well.
            if (std::chrono::steady_clock::now() - idle.back().idleSince < maxIdleTime) {
                client = std::move(idle.back().client);
                idle.pop_back();
            } else {
                idle.clear();
            }
        }
    }
    if (!client) {
        const auto [host, port] = splitAddress(call.address);
        client = std::make_shared<httplib::Client>(host, port);
        client->set_keep_alive(!call.useNewConnection);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connectTimeout);
        client->set_decompress(false); // An encoded response is forwarded unchanged, with its Content-Encoding.
    }
    const duration timeout = std::clamp<duration>(call.remainingTime, minReadTimeout, tunables::attemptIdleTimeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return client;
}

void endpoint_client::release(const std::string &address, client_ptr client)
{
    const std::lock_guard lock(m_mutex);
    if (auto &idle = m_idle[address]; idle.size() < maxIdlePerEndpoint) {
        idle.push_back({.client = std::move(client), .idleSince = std::chrono::steady_clock::now()});
    }
}

}
