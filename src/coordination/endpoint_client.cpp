#include "coordination/endpoint_client.h"

#include "coordination/passed_headers.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxLineBytes = 1U << 20U; // A chunk carries one token; a longer line is malformed.
constexpr std::size_t maxIdlePerEndpoint = 32;
constexpr auto maxIdleTime = std::chrono::seconds(1); // Well below the keep-alive time of servers; a connection that one closes looks like a crash.
constexpr auto connectTimeout = std::chrono::seconds(1); // Endpoints are a few milliseconds away.
constexpr auto minReadTimeout = std::chrono::milliseconds(1);

// What became of the exchange, apart from the content of the answer.
struct exchange
{
    httplib::Response response;
    httplib::Error error = httplib::Error::Success; ///< cpp-httplib leaves it unchanged when a kept connection succeeds.
    bool echoed = false; ///< The answer carried the attempt's id.
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

// Classifies an exchange without an answer. Only a failed connect is certain to have sent nothing.
attempt_failed_event classifyError(const endpoint_call &call, const exchange &done, duration elapsed)
{
    switch (done.error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return makeFailure(call, attempt_failure::NotSent, "connection failed");
    default:
        break;
    }
    const duration limit = std::min<duration>(call.timeLeft, tunables::attemptIdleTimeout);
    if (elapsed >= limit) {
        return makeFailure(call, attempt_failure::TimedOut, "no answer in time");
    }
    return makeFailure(call, attempt_failure::ConnectionLost, "connection lost after sending: " + httplib::to_string(done.error));
}

attempt_failed_event classifyStatus(const endpoint_call &call, const exchange &done)
{
    const int status = done.response.status;
    const std::string detail = "status " + std::to_string(status);
    if (!done.echoed) {
        return makeFailure(call, attempt_failure::BadAnswer, "the answer belongs to another attempt");
    }
    if (status == 503 || status == 429) {
        return makeFailure(call, attempt_failure::Refused, detail);
    }
    return makeFailure(call, status >= 400 && status < 500 ? attempt_failure::Rejected : attempt_failure::BadAnswer, detail);
}

// Whether an answer without the header X-Attempt-Id is taken. Plain services need not know the header: their answers are matched by
// the connection, which carries one request at a time. A header with another id is refused in both cases.
enum class attempt_echo {
    Required,
    Optional
};

// Sends the request. The body goes to `receive` while it arrives, but only that of an answer to this attempt with status 200.
template <typename Receive>
exchange perform(httplib::Client &connection, const endpoint_call &call, const call_control &control, attempt_echo echo, Receive receive)
{
    exchange done;
    httplib::Request request = makeRequest(call);
    int status = 0;
    request.response_handler = [&](const httplib::Response &response) {
        status = response.status;
        const auto echoed = response.get_header_value("X-Attempt-Id");
        done.echoed = echoed == call.attemptId || (echoed.empty() && echo == attempt_echo::Optional);
        return done.echoed && !control.cancelled();
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        return !control.cancelled() && receive(status, std::string_view(data, size));
    };
    if (!connection.send(request, done.response, done.error) && done.error == httplib::Error::Success) {
        done.error = httplib::Error::Unknown;
    }
    if (status != 0) {
        done.response.status = status;
    }
    return done;
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

void call_control::attach(std::shared_ptr<httplib::Client> connection)
{
    const std::lock_guard lock(m_mutex);
    m_connection = std::move(connection);
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
    m_rest.append(bytes);
    std::size_t begin = 0;
    for (auto end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
        std::string_view line(m_rest.data() + begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!takeLine(line)) {
            return false;
        }
        begin = end + 1;
    }
    m_rest.erase(0, begin);
    return m_rest.size() <= maxLineBytes || fail("line too long");
}

bool stream_parser::complete() const
{
    return m_finished && m_ended;
}

const std::string &stream_parser::problem() const
{
    return m_problem;
}

stream_finished_event stream_parser::finish() const
{
    return m_finish;
}

bool stream_parser::takeLine(std::string_view line)
{
    constexpr std::string_view prefix = "data:";
    if (line.empty() || line.starts_with(':')) {
        return true;
    }
    if (!line.starts_with(prefix) || m_ended) {
        return fail("unexpected line");
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (line == "[DONE]") {
        m_ended = true;
        return m_finished || fail("end mark without finish reason");
    }
    return takeChunk(line);
}

// Checks one chunk and emits its token. Exceptions of the JSON library stand for wrong types or missing fields.
bool stream_parser::takeChunk(std::string_view text)
{
    try {
        const auto chunk = nlohmann::json::parse(text);
        if (chunk.at("id").get<std::string>() != m_finish.attemptId) {
            return fail("chunk of another attempt");
        }
        const auto &choice = chunk.at("choices").at(0);
        if (m_finished) {
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
        return !last || takeFinish(chunk, choice);
    } catch (const nlohmann::json::exception &) {
        return fail("malformed chunk");
    }
}

bool stream_parser::takeFinish(const nlohmann::json &chunk, const nlohmann::json &choice)
{
    const auto &usage = chunk.at("usage");
    m_finish.finishReason = choice.at("finish_reason").get<std::string>();
    m_finish.promptTokens = usage.at("prompt_tokens").get<std::uint64_t>();
    m_finish.completionTokens = usage.at("completion_tokens").get<std::uint64_t>();
    m_finish.cachedTokens = usage.value("cached_tokens", std::uint64_t{0});
    m_finished = true;
    return true;
}

bool stream_parser::fail(std::string problem)
{
    m_problem = std::move(problem);
    return false;
}

// Streams one completion. The connection is kept only after a whole, well-formed answer; in all other cases it is closed.
void endpoint_client::streamCompletion(const endpoint_call &call, call_control &control, const event_function &emit)
{
    const auto link = acquire(call);
    control.attach(link);
    if (control.cancelled()) {
        emit(makeFailure(call, attempt_failure::NotSent, "cancelled before sending"));
        return;
    }
    stream_parser parser(call.attemptId, call.chat, emit);
    auto lastByte = std::chrono::steady_clock::now();
    const exchange done = perform(*link, call, control, attempt_echo::Required, [&](int status, std::string_view bytes) {
        lastByte = std::chrono::steady_clock::now();
        return status != 200 || parser.feed(bytes);
    });
    control.detach();
    if (!parser.problem().empty()) {
        emit(makeFailure(call, attempt_failure::BadAnswer, parser.problem()));
    } else if (done.response.status > 0 && (!done.echoed || done.response.status != 200)) {
        emit(classifyStatus(call, done));
    } else if (done.error != httplib::Error::Success) {
        emit(classifyError(call, done, std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - lastByte)));
    } else if (!parser.complete()) {
        // A stream that ends early without an error is what a crashed engine behind a closing connection looks like.
        emit(makeFailure(call, attempt_failure::ConnectionLost, "truncated stream"));
    } else {
        release(call.address, link);
        emit(parser.finish());
    }
}

// Calls a plain service and emits its whole answer. Any status of an answer to this attempt is the caller's, except 503 and 429 to a
// request that may be repeated.
void endpoint_client::callService(const endpoint_call &call, call_control &control, const event_function &emit)
{
    const auto link = acquire(call);
    control.attach(link);
    if (control.cancelled()) {
        emit(makeFailure(call, attempt_failure::NotSent, "cancelled before sending"));
        return;
    }
    std::string body;
    const auto startedAt = std::chrono::steady_clock::now();
    const exchange done = perform(*link, call, control, attempt_echo::Optional, [&](int, std::string_view bytes) {
        body.append(bytes);
        return body.size() <= tunables::maxBodyBytes;
    });
    control.detach();
    const int status = done.response.status;
    // A service may have run a request before it answers 503, so the answer to a non-repeatable one is its outcome.
    const bool mayRetry = !call.freshConnection && (status == 503 || status == 429);
    if (status > 0 && (!done.echoed || mayRetry)) {
        emit(classifyStatus(call, done));
    } else if (done.error != httplib::Error::Success) {
        emit(classifyError(call, done, std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - startedAt)));
    } else {
        if (!call.freshConnection) {
            release(call.address, link);
        }
        emit(service_answer_event{
            .attemptId = call.attemptId,
            .answer = {.status = status,
                       .contentType = done.response.get_header_value("Content-Type"),
                       .body = std::move(body),
                       .headers = passedToCaller(done.response.headers)},
        });
    }
}

endpoint_client::connection endpoint_client::acquire(const endpoint_call &call)
{
    connection link;
    if (!call.freshConnection) {
        const std::lock_guard lock(m_mutex);
        if (auto &idle = m_idle[call.address]; !idle.empty()) {
            // The last one was used most recently; when it is too old, so are all others.
            if (std::chrono::steady_clock::now() - idle.back().since < maxIdleTime) {
                link = std::move(idle.back().link);
                idle.pop_back();
            } else {
                idle.clear();
            }
        }
    }
    if (!link) {
        const auto [host, port] = splitAddress(call.address);
        link = std::make_shared<httplib::Client>(host, port);
        link->set_keep_alive(!call.freshConnection);
        link->set_tcp_nodelay(true);
        link->set_connection_timeout(connectTimeout);
        link->set_decompress(false); // An encoded answer is passed on as it is, with its Content-Encoding.
    }
    const duration patience = std::clamp<duration>(call.timeLeft, minReadTimeout, tunables::attemptIdleTimeout);
    link->set_read_timeout(patience);
    link->set_write_timeout(patience);
    return link;
}

void endpoint_client::release(const std::string &address, connection kept)
{
    const std::lock_guard lock(m_mutex);
    if (auto &idle = m_idle[address]; idle.size() < maxIdlePerEndpoint) {
        idle.push_back({.link = std::move(kept), .since = std::chrono::steady_clock::now()});
    }
}

}
