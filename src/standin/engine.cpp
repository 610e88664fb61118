#include "standin/engine.h"

#include "protocol/engine_text.h"
#include "protocol/tunables.h"
#include "standin/engine_response.h"
#include "state/endpoint_table.h"

namespace lacewinglock
{

namespace
{

constexpr std::uint64_t defaultOutputTokens = 16;
constexpr int defaultCrashMs = 3000;

std::chrono::milliseconds millisecondsField(const nlohmann::json &value, const char *name, std::chrono::milliseconds defaultValue)
{
    return std::chrono::milliseconds(value.value(name, defaultValue.count()));
}

}

engine_settings parseEngineSettings(const nlohmann::json &value)
{
    engine_settings settings;
    settings.id = value.value("id", "");
    settings.host = value.value("host", settings.host);
    settings.port = value.value("port", settings.port);
    settings.role = value.value("role", settings.role);
    settings.model = value.value("model", settings.model);
    settings.checksFencing = value.value("checks_fencing", settings.checksFencing);
    auto &rates = settings.rates;
    rates.prefillTokensPerSecond = value.value("prefill_tokens_per_second", rates.prefillTokensPerSecond);
    rates.decodeStepMs = value.value("decode_step_ms", rates.decodeStepMs);
    rates.decodeStepMsPerStream = value.value("decode_step_ms_per_stream", rates.decodeStepMsPerStream);
    rates.kvTokens = value.value("kv_tokens", rates.kvTokens);
    rates.cacheBlocks = value.value("cache_blocks", rates.cacheBlocks);
    settings.loadLag = millisecondsField(value, "load_lag_ms", settings.loadLag);
    settings.cacheEventLag = millisecondsField(value, "cache_event_lag_ms", settings.cacheEventLag);
    settings.roleChangeTime = millisecondsField(value, "change_time_ms", settings.roleChangeTime);
    return settings;
}

engine::engine(engine_settings settings)
    : m_settings(std::move(settings))
    , m_batch(m_settings.rates)
    , m_orders(m_settings.role, m_settings.model, m_settings.roleChangeTime)
    , m_server(m_settings.host, m_settings.port, [this](httplib::Server &server) {
        addRoutes(server);
    })
{
    recordLoad();
}

void engine::addRoutes(httplib::Server &server)
{
    for (const bool chat : {false, true}) {
        server.Post(chat ? "/v1/chat/completions" : "/v1/completions", withJson([this, chat](const auto &body, const auto &request, auto &response) {
                        complete(chat, body, request, response);
                    }));
    }
    server.Get("/load", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, load());
    });
    server.Get("/cache-events", [this](const httplib::Request &request, httplib::Response &response) {
        sendJson(response, 200, cacheEvents(std::strtoull(request.get_param_value("since").c_str(), nullptr, 10)));
    });
    server.Get("/orders", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, 200, orders());
    });
    server.Post("/orders", withJson([this](const auto &body, const auto &, auto &response) {
                    const int status = m_orders.handleOrder(body, m_settings.checksFencing && !m_faults.consume("ignore_fencing"));
                    recordLoad();
                    sendJson(response, status, m_orders.status());
                }));
    server.Post("/kv/export", withJson([this](const auto &body, const auto &, auto &response) {
                    sendJson(response, 200, m_batch.withCache([&](const prefix_cache &cache) {
                        return exportBlocks(cache, body);
                    }));
                }));
    server.Post("/kv/import", withJson([this](const auto &body, const auto &, auto &response) {
                    sendJson(response, 200, m_batch.withCache([&](prefix_cache &cache) {
                        return importBlocks(cache, body);
                    }));
                }));
    server.Post("/faults", withJson([this](const auto &body, const auto &, auto &response) {
                    sendJson(response, 200, nlohmann::json::object());
                    setFault(body);
                }));
}

void engine::setFault(const nlohmann::json &body)
{
    const std::string name = body.at("name");
    if (name == "crash") {
        m_server.crash(std::chrono::milliseconds(body.value("duration_ms", defaultCrashMs)));
    } else if (name == "revive") {
        m_server.restart();
    } else if (name == "leaving") {
        m_leaving = body.value("value", true);
    } else {
        m_faults.set(body);
    }
}

void engine::announceLeaving()
{
    m_leaving = true;
}

nlohmann::json engine::orders() const
{
    auto report = m_orders.report();
    report["cut_by_change"] = m_abortedByRoleChange.load();
    report["requests_while_leaving"] = m_requestsWhileLeaving.load();
    return report;
}

// Runs one completion: rejection checks, prefill, then decode into a single body or a stream.
void engine::complete(bool chat, const nlohmann::json &body, const httplib::Request &request, httplib::Response &response)
{
    auto attempt = parseAttempt(chat, body, request);
    response.set_header("X-Attempt-Id", attempt.id);
    if (rejectBeforeStart(attempt, response)) {
        return;
    }
    recordLoad();
    const auto cached = m_batch.prefill(attempt.batch);
    if (!cached || m_orders.changeCount() != attempt.changesAtStart) {
        m_abortedByRoleChange += cached ? 1 : 0;
        m_batch.release(attempt.batch);
        recordLoad();
        dropConnection();
        return;
    }
    attempt.cachedTokens = *cached;
    m_batch.beginDecode();
    recordLoad();
    if (attempt.stream) {
        streamCompletion(std::move(attempt), response);
        return;
    }
    sendCompletion(attempt, response);
    m_batch.endDecode();
    m_batch.release(attempt.batch);
    recordLoad();
}

// Applies the faults and limits that end an attempt before prefill. Returns true when the attempt has ended.
bool engine::rejectBeforeStart(const engine_attempt &attempt, httplib::Response &response)
{
    if (const auto poisonMarker = m_faults.peek("poison"); poisonMarker && attempt.prompt.find(poisonMarker->get<std::string>()) != std::string::npos) {
        m_server.crash(std::chrono::milliseconds(defaultCrashMs));
        return true;
    }
    if (m_faults.consume("stall")) {
        while (m_faults.peek("stall") && isConnectionOpen()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        dropConnection();
        return true;
    }
    m_requestsWhileLeaving += m_leaving ? 1 : 0;
    if (m_orders.isChanging()) {
        sendJson(response, 503, {{"error", "changing role"}});
        return true;
    }
    if (!m_batch.reserve(attempt.batch)) {
        sendJson(response, 503, {{"error", "KV memory is full"}});
        return true;
    }
    return false;
}

engine_attempt engine::parseAttempt(bool chat, const nlohmann::json &body, const httplib::Request &request)
{
    engine_attempt attempt;
    attempt.chat = chat;
    attempt.id = attemptIdToEcho(request.get_header_value("X-Attempt-Id"));
    attempt.stream = body.value("stream", false);
    attempt.prompt = promptText(body);
    attempt.firstIndex = body.value("resume_from", std::uint64_t(0));
    attempt.totalTokens = body.value("max_tokens", defaultOutputTokens);
    attempt.changesAtStart = m_orders.changeCount();
    if (const auto tokensBeforeCut = m_faults.consume("truncated_stream")) {
        attempt.truncateAt = attempt.firstIndex + tokensBeforeCut->get<std::uint64_t>();
    }
    if (const auto malformedIndex = m_faults.consume("malformed_chunk")) {
        attempt.malformedAt = malformedIndex->get<std::uint64_t>();
    }
    attempt.batch = {.promptTokens = static_cast<double>(attempt.prompt.size()) / tunables::bytesPerToken,
                     .outputTokens = static_cast<double>(attempt.totalTokens),
                     .priority = body.value("priority", 0),
                     .blocks = hashPromptBlocks(attempt.prompt)};
    return attempt;
}

// Returns the id of the request, or a wrong one under a fault: an id that no attempt has, or the id of the previous attempt.
std::string engine::attemptIdToEcho(const std::string &id)
{
    const std::lock_guard lock(m_previousIdMutex);
    const auto previousId = std::exchange(m_previousId, id);
    if (m_faults.consume("wrong_attempt_id")) {
        return "not-" + id;
    }
    return m_faults.consume("delayed_attempt_id") ? previousId : id;
}

// Calls emit for each token at its scheduled time. Returns false when the caller disconnected, a fault truncated the output, a role change
// aborted the attempt, or emit failed.
bool engine::decode(const engine_attempt &attempt, const std::function<bool(std::uint64_t)> &emit)
{
    auto nextTokenAt = fake_clock::now();
    for (std::uint64_t index = attempt.firstIndex; index < attempt.totalTokens; ++index) {
        const auto slowFactor = m_faults.consume("slow");
        nextTokenAt
            += slowFactor ? std::chrono::duration_cast<fake_clock::duration>(m_batch.decodeStepTime() * slowFactor->get<double>()) : m_batch.decodeStepTime();
        if (!sleepWhileConnected(nextTokenAt) || attempt.truncateAt == index) {
            return false;
        }
        if (m_orders.changeCount() != attempt.changesAtStart) {
            ++m_abortedByRoleChange;
            return false;
        }
        if (!emit(index)) {
            return false;
        }
    }
    return true;
}

void engine::sendCompletion(const engine_attempt &attempt, httplib::Response &response)
{
    std::string text;
    const bool completed = decode(attempt, [&](std::uint64_t index) {
        text += engineToken(attempt.prompt, index);
        return true;
    });
    if (!completed) {
        dropConnection();
        return;
    }
    sendJson(response, 200, completionBody(attempt, text));
}

void engine::streamCompletion(engine_attempt attempt, httplib::Response &response)
{
    const auto shared = std::make_shared<engine_attempt>(std::move(attempt));
    const auto provide = [this, shared](std::size_t, httplib::DataSink &sink) {
        const bool completed = decode(*shared, [&](std::uint64_t index) {
            return writeToken(*shared, index, sink);
        });
        if (!completed) {
            dropConnection();
            return false;
        }
        const auto end = finalEvents(*shared);
        sink.write(end.data(), end.size());
        sink.done();
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", provide, [this, shared](bool) {
        m_batch.endDecode();
        m_batch.release(shared->batch);
        recordLoad();
    });
}

bool engine::writeToken(const engine_attempt &attempt, std::uint64_t index, httplib::DataSink &sink) const
{
    const auto line = attempt.malformedAt == index ? std::string("data: {\"id\": \"broken\n\n") : tokenEvent(attempt, index);
    return sink.write(line.data(), line.size());
}

void engine::recordLoad()
{
    const auto current = m_batch.load();
    auto snapshot = m_orders.status();
    snapshot["queued_prompt_tokens"] = current.queuedPromptTokens;
    snapshot["running_streams"] = current.runningStreams;
    snapshot["free_kv_tokens"] = current.freeKvTokens;
    snapshot["prefill_tokens_per_second"] = m_settings.rates.prefillTokensPerSecond;
    m_loadHistory.record(std::move(snapshot));
}

// The end of a role change triggers no call of recordLoad, so every report records the current state first.
nlohmann::json engine::load()
{
    recordLoad();
    const auto lagFault = m_faults.consume("load_lag");
    auto report = m_loadHistory.at(lagFault ? std::chrono::milliseconds(lagFault->get<int>()) : m_settings.loadLag);
    report["leaving"] = m_leaving.load();
    return report;
}

nlohmann::json engine::cacheEvents(std::uint64_t since)
{
    const auto dropEvery = m_faults.consume("cache_gap");
    const auto changes = m_batch.withCache([&](const prefix_cache &cache) {
        return cache.changesSince(since, m_settings.cacheEventLag, dropEvery ? dropEvery->get<std::uint64_t>() : 0);
    });
    return {{"next", changes.next}, {"gap", changes.gap}, {"stored", changes.stored}, {"evicted", changes.evicted}};
}

}
