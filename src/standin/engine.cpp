#include "standin/engine.h"

#include "protocol/engine_text.h"
#include "protocol/tunables.h"
#include "standin/engine_answer.h"
#include "state/endpoint_table.h"

namespace lacewinglock
{

namespace
{

constexpr std::uint64_t defaultOutputTokens = 16;
constexpr int defaultCrashMs = 3000;

std::chrono::milliseconds msField(const nlohmann::json &value, const char *name, std::chrono::milliseconds preset)
{
    return std::chrono::milliseconds(value.value(name, preset.count()));
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
    settings.loadLag = msField(value, "load_lag_ms", settings.loadLag);
    settings.cacheEventLag = msField(value, "cache_event_lag_ms", settings.cacheEventLag);
    settings.changeTime = msField(value, "change_time_ms", settings.changeTime);
    return settings;
}

engine::engine(engine_settings settings)
    : m_settings(std::move(settings))
    , m_batch(m_settings.rates)
    , m_orders(m_settings.role, m_settings.model, m_settings.changeTime)
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
        answerJson(response, 200, load());
    });
    server.Get("/cache-events", [this](const httplib::Request &request, httplib::Response &response) {
        answerJson(response, 200, cacheEvents(std::strtoull(request.get_param_value("since").c_str(), nullptr, 10)));
    });
    server.Get("/orders", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, orders());
    });
    server.Post("/orders", withJson([this](const auto &body, const auto &, auto &response) {
                    const int status = m_orders.take(body, m_settings.checksFencing && !m_faults.use("ignore_fencing"));
                    recordLoad();
                    answerJson(response, status, m_orders.status());
                }));
    server.Post("/kv/export", withJson([this](const auto &body, const auto &, auto &response) {
                    answerJson(response, 200, m_batch.withCache([&](const prefix_cache &cache) {
                        return exportBlocks(cache, body);
                    }));
                }));
    server.Post("/kv/import", withJson([this](const auto &body, const auto &, auto &response) {
                    answerJson(response, 200, m_batch.withCache([&](prefix_cache &cache) {
                        return importBlocks(cache, body);
                    }));
                }));
    server.Post("/faults", withJson([this](const auto &body, const auto &, auto &response) {
                    answerJson(response, 200, nlohmann::json::object());
                    setFault(body);
                }));
}

void engine::setFault(const nlohmann::json &body)
{
    const std::string name = body.at("name");
    if (name == "crash") {
        m_server.crash(std::chrono::milliseconds(body.value("duration_ms", defaultCrashMs)));
    } else if (name == "revive") {
        m_server.revive();
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
    report["cut_by_change"] = m_cutByChange.load();
    report["requests_while_leaving"] = m_requestsWhileLeaving.load();
    return report;
}

// One completion: refusals, then prefill, then decoding into one body or a stream.
void engine::complete(bool chat, const nlohmann::json &body, const httplib::Request &request, httplib::Response &response)
{
    auto attempt = parseAttempt(chat, body, request);
    response.set_header("X-Attempt-Id", attempt.id);
    if (refuse(attempt, response)) {
        return;
    }
    recordLoad();
    const auto cached = m_batch.prefill(attempt.batch);
    if (!cached || m_orders.changes() != attempt.changes) {
        m_cutByChange += cached ? 1 : 0;
        m_batch.release(attempt.batch);
        recordLoad();
        dropConnection();
        return;
    }
    attempt.cachedTokens = *cached;
    m_batch.enterDecode();
    recordLoad();
    if (attempt.stream) {
        answerStream(std::move(attempt), response);
        return;
    }
    answerWhole(attempt, response);
    m_batch.leaveDecode();
    m_batch.release(attempt.batch);
    recordLoad();
}

// Faults and limits that end an attempt before it has started; true when it is over.
bool engine::refuse(const engine_attempt &attempt, httplib::Response &response)
{
    if (const auto marker = m_faults.peek("poison"); marker && attempt.prompt.find(marker->get<std::string>()) != std::string::npos) {
        m_server.crash(std::chrono::milliseconds(defaultCrashMs));
        return true;
    }
    if (m_faults.use("stall")) {
        while (m_faults.peek("stall") && connectionOpen()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        dropConnection();
        return true;
    }
    m_requestsWhileLeaving += m_leaving ? 1 : 0;
    if (m_orders.changing()) {
        answerJson(response, 503, {{"error", "changing role"}});
        return true;
    }
    if (!m_batch.reserve(attempt.batch)) {
        answerJson(response, 503, {{"error", "KV memory is full"}});
        return true;
    }
    return false;
}

engine_attempt engine::parseAttempt(bool chat, const nlohmann::json &body, const httplib::Request &request)
{
    engine_attempt attempt;
    attempt.chat = chat;
    attempt.id = echoedId(request.get_header_value("X-Attempt-Id"));
    attempt.stream = body.value("stream", false);
    attempt.prompt = promptText(body);
    attempt.first = body.value("resume_from", std::uint64_t(0));
    attempt.total = body.value("max_tokens", defaultOutputTokens);
    attempt.changes = m_orders.changes();
    if (const auto cut = m_faults.use("truncated_stream")) {
        attempt.cutAt = attempt.first + cut->get<std::uint64_t>();
    }
    if (const auto malformed = m_faults.use("malformed_chunk")) {
        attempt.malformedAt = malformed->get<std::uint64_t>();
    }
    attempt.batch = {.promptTokens = static_cast<double>(attempt.prompt.size()) / tunables::bytesPerToken,
                     .outputTokens = static_cast<double>(attempt.total),
                     .priority = body.value("priority", 0),
                     .blocks = hashPromptBlocks(attempt.prompt)};
    return attempt;
}

// The id to echo: the given one, or with a fault another one or that of the attempt before.
std::string engine::echoedId(const std::string &id)
{
    const std::lock_guard lock(m_idMutex);
    const auto former = std::exchange(m_lastId, id);
    if (m_faults.use("wrong_attempt_id")) {
        return "not-" + id;
    }
    return m_faults.use("delayed_attempt_id") ? former : id;
}

// Calls emit for each token when its time has come; false when the caller left, a role change cut the stream or emit failed.
bool engine::decode(const engine_attempt &attempt, const std::function<bool(std::uint64_t)> &emit)
{
    auto due = fake_clock::now();
    for (std::uint64_t index = attempt.first; index < attempt.total; ++index) {
        const auto slow = m_faults.use("slow");
        due += slow ? std::chrono::duration_cast<fake_clock::duration>(m_batch.stepTime() * slow->get<double>()) : m_batch.stepTime();
        if (!sleepWhileOpen(due) || attempt.cutAt == index) {
            return false;
        }
        if (m_orders.changes() != attempt.changes) {
            ++m_cutByChange;
            return false;
        }
        if (!emit(index)) {
            return false;
        }
    }
    return true;
}

void engine::answerWhole(const engine_attempt &attempt, httplib::Response &response)
{
    std::string text;
    const bool done = decode(attempt, [&](std::uint64_t index) {
        text += engineToken(attempt.prompt, index);
        return true;
    });
    if (!done) {
        dropConnection();
        return;
    }
    answerJson(response, 200, wholeAnswer(attempt, text));
}

void engine::answerStream(engine_attempt attempt, httplib::Response &response)
{
    const auto shared = std::make_shared<engine_attempt>(std::move(attempt));
    const auto provide = [this, shared](std::size_t, httplib::DataSink &sink) {
        const bool done = decode(*shared, [&](std::uint64_t index) {
            return writeToken(*shared, index, sink);
        });
        if (!done) {
            dropConnection();
            return false;
        }
        const auto end = streamEnd(*shared);
        sink.write(end.data(), end.size());
        sink.done();
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", provide, [this, shared](bool) {
        m_batch.leaveDecode();
        m_batch.release(shared->batch);
        recordLoad();
    });
}

bool engine::writeToken(const engine_attempt &attempt, std::uint64_t index, httplib::DataSink &sink) const
{
    const auto line = attempt.malformedAt == index ? std::string("data: {\"id\": \"broken\n\n") : tokenLine(attempt, index);
    return sink.write(line.data(), line.size());
}

void engine::recordLoad()
{
    const auto now = m_batch.load();
    auto snapshot = m_orders.status();
    snapshot["queued_prompt_tokens"] = now.queuedPromptTokens;
    snapshot["running_streams"] = now.runningStreams;
    snapshot["free_kv_tokens"] = now.freeKvTokens;
    snapshot["prefill_tokens_per_second"] = m_settings.rates.prefillTokensPerSecond;
    m_history.record(std::move(snapshot));
}

// The end of a role change is not an event, so each report records the present state as well.
nlohmann::json engine::load()
{
    recordLoad();
    const auto fault = m_faults.use("load_lag");
    auto report = m_history.at(fault ? std::chrono::milliseconds(fault->get<int>()) : m_settings.loadLag);
    report["leaving"] = m_leaving.load();
    return report;
}

nlohmann::json engine::cacheEvents(std::uint64_t since)
{
    const auto every = m_faults.use("cache_gap");
    const auto changes = m_batch.withCache([&](const prefix_cache &cache) {
        return cache.changes(since, m_settings.cacheEventLag, every ? every->get<std::uint64_t>() : 0);
    });
    return {{"next", changes.next}, {"gap", changes.gap}, {"stored", changes.stored}, {"evicted", changes.evicted}};
}

}
