#include "serving/caller_exchange.h"

#include "serving/event_stream.h"
#include "serving/peer_summaries.h"
#include "serving/placement_log.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr int maxUnreachable = 4; // Engines without a connection that one request tries.
constexpr std::size_t maxErrorBytes = 1U << 20U; // Answers other than streams.
constexpr auto readingSlack = std::chrono::milliseconds(400); // Beyond the prediction, before a reading engine counts as silent.
constexpr double readingPatience = 3; // Predictions are off by that factor when several daemons send at once.
constexpr auto resumeAfter = std::chrono::milliseconds(1000); // Callers leave a silent stream after two seconds.
constexpr auto firstEventPatience = std::chrono::milliseconds(1500); // A resumable stream without an event for so long is tried elsewhere.
constexpr double speedTokens = 1000; // Shorter readings tell more of the network than of the engine.
constexpr double speedWeight = 0.2; // A slow engine shows after five readings.
constexpr auto freeTimeout = std::chrono::milliseconds(500);

/// One stream on its way to the caller.
class stream_session
{
public:
    stream_session(edge_context &context, caller_request &request);
    task<caller_outcome> run();

private:
    enum class step {
        Done, ///< The caller has its final answer, or none can be given.
        Again ///< Another engine may be tried.
    };

    generation_input makeInput(const std::vector<endpoint_ptr> &engines) const;
    task<step> attempt(const generation_input &input, const generation_result &placed, const std::vector<endpoint_ptr> &engines);
    /// Has the prompt read on one engine. The handle is empty when that failed.
    task<std::string> readPrompt(const endpoint_ptr &reader, const endpoint_ptr &holder, double tokens, double predictedMs);
    task<step> deliver(const endpoint_ptr &engine, std::shared_ptr<client_exchange> exchange, exchange_state state, load_claim &claim);
    task<step> passEvents(client_exchange &exchange, exchange_state state, const endpoint_ptr &engine, load_claim &claim);
    task<step> refuse(std::string_view code, double retryAfterMs);
    task<step> fail(http::status status, std::string_view code);
    void noteParts(const endpoint_ptr &engine);
    void freeHandle(const endpoint_ptr &holder, const std::string &handle) const;
    void noteFirstEvent(const endpoint_ptr &engine, load_claim &claim);
    /// Learns how fast an engine is from a reading that waited behind no other.
    void noteSpeed(const endpoint_ptr &engine, bool waited, double tokens, double tookMs) const;
    bool mayTryAgain() const;
    bool takeExtra();

    edge_context &m_context;
    caller_request &m_request;
    const serving_route &m_route;
    std::optional<prompt_facts> m_prompt;
    caller_outcome m_outcome;
    std::set<std::string> m_failed;
    int m_unreachable = 0;
    int m_readings = 0; ///< Sendings to reading engines; the first one is free.
    bool m_mayHaveRun = false; ///< An engine may have begun the output.
    bool m_streaming = false; ///< The caller has the head of the answer.
    std::optional<std::uint64_t> m_lastEvent;
    double m_retryAfterMs = 250;
};

stream_session::stream_session(edge_context &context, caller_request &request)
    : m_context(context)
    , m_request(request)
    , m_route(*request.route)
    , m_prompt(context.platform.wire.parsePrompt(request.received->message))
{
}

generation_input stream_session::makeInput(const std::vector<endpoint_ptr> &engines) const
{
    const instant now = bootNow();
    generation_input input{
        .requestId = m_request.id,
        .configVersion = m_request.configuration->version,
        .promptTokens = m_prompt ? m_prompt->promptTokens : 0,
        .elapsedMs = toTenth(toMs(now - m_request.arrivedAt)),
        .targetMs = toTenth(toMs(m_route.target)),
        .remainingMs = toTenth(toMs(m_request.deadline - now)),
        .maySplit = m_prompt && m_prompt->promptTokens > 0 && !m_streaming,
        .peerAgeMs = toTenth(m_context.peerAgeMs()),
        .roll = toTenth(m_context.roll()),
    };
    const auto service = m_request.configuration->services.find(m_request.service);
    const bool known = service != m_request.configuration->services.end() && service->second.engine;
    if (known) {
        input.kvTokenBytes = service->second.engine->kvTokenBytes;
        input.linkMbps = service->second.engine->linkMbps;
    }
    for (const auto &engine : engines) {
        input.engines.push_back({
            .id = engine->entry.id,
            .role = engine->entry.role.value_or(endpoint_role::Mixed),
            .local = engine->entry.failureDomain == m_context.settings.failureDomain,
            .excluded = !engine->usable(now) || m_failed.contains(engine->entry.id),
            .running = engine->own.running + engine->peers.running,
            .slots = known ? service->second.engine->slots : std::max(1, engine->entry.slots),
            .queuedTokens = std::round(engine->own.promptTokens + engine->peers.promptTokens),
            .cachedTokens = m_prompt ? std::round(m_context.parts.cachedTokens(m_prompt->parts, engine->hash)) : 0,
            .slowness = toHundredth(engine->slowness),
            .failureShare = toHundredth(engine->failureShare),
            .overdueMs = engine->overdueMs(now),
        });
    }
    return input;
}

bool stream_session::mayTryAgain() const
{
    return m_outcome.attempts < m_route.maxAttempts && (!m_mayHaveRun || m_route.resumable);
}

bool stream_session::takeExtra()
{
    return m_context.budget.tryExtra(m_request.service, m_context.daemons(), bootNow());
}

task<caller_outcome> stream_session::run()
{
    while (true) {
        if (m_request.reply->gone()) {
            m_outcome.reason = "caller_gone";
            break;
        }
        if (bootNow() >= m_request.deadline) {
            co_await fail(m_mayHaveRun ? http::status::gateway_timeout : http::status::service_unavailable, "timeout");
            break;
        }
        const auto engines = m_context.endpoints.ofService(m_request.service);
        const auto input = makeInput(engines);
        const auto placed = placeGeneration(input, m_context.settings.engines);
        auto line = m_context.line("place_generation");
        line.add("attempt", m_outcome.attempts + 1);
        logPlacement(line, input, placed);
        m_context.log.write(line);
        // A stream that the caller has begun to read goes on wherever there is room.
        // One that may have run can't be refused truthfully any more: late is better than a failure.
        if (placed.output < 0 || (placed.verdict == placement_verdict::Refuse && !m_streaming && !m_mayHaveRun)) {
            co_await refuse(placed.reason, placed.retryAfterMs);
            break;
        }
        if (m_outcome.attempts > 0 && !takeExtra()) {
            co_await refuse("retry_budget", m_retryAfterMs);
            break;
        }
        if (co_await attempt(input, placed, engines) == step::Done) {
            break;
        }
    }
    co_return m_outcome;
}

task<stream_session::step> stream_session::attempt(const generation_input &input, const generation_result &placed, const std::vector<endpoint_ptr> &engines)
{
    const auto at = [&](int index) {
        return index < 0 ? nullptr : engines[static_cast<std::size_t>(index)];
    };
    auto engine = at(placed.output);
    const auto reader = at(placed.prompt);
    const auto holder = at(placed.fetchFrom);
    const auto &reading = reader ? reader : engine;
    const double kept = std::max(input.engines[static_cast<std::size_t>(placed.prompt < 0 ? placed.output : placed.prompt)].cachedTokens,
                                 placed.fetchFrom < 0 ? 0 : input.engines[static_cast<std::size_t>(placed.fetchFrom)].cachedTokens);
    const double toRead = std::max(0.0, input.promptTokens - kept);
    noteParts(reading);

    std::string handle;
    if (reader) {
        // The place where the output is made is counted from now on, so that other requests see it.
        load_claim reserved(engine, 0);
        handle = co_await readPrompt(reader, holder, toRead, placed.promptReadMs);
        if (handle.empty()) {
            if (m_request.reply->gone() || ++m_unreachable > maxUnreachable) {
                co_return co_await refuse("reading_failed", m_retryAfterMs);
            }
            co_return step::Again;
        }
        if (m_request.reply->gone()) {
            freeHandle(reader, handle);
            m_outcome.reason = "caller_gone";
            co_return step::Done;
        }
        // The engine that was foreseen may be leaving or busier by now.
        const auto enginesNow = m_context.endpoints.ofService(m_request.service);
        const int output = placeOutput(makeInput(enginesNow), m_context.settings.engines, reader->entry.failureDomain == m_context.settings.failureDomain);
        if (output < 0) {
            freeHandle(reader, handle);
            co_return co_await refuse("engines_full", m_retryAfterMs);
        }
        engine = enginesNow[static_cast<std::size_t>(output)];
    }
    const auto address = parseAddress(engine->entry.address);
    if (!address.ok()) {
        m_failed.insert(engine->entry.id);
        co_return step::Again;
    }
    load_claim claim(engine, reader ? 0 : toRead);
    noteLoadNews(m_context, reader ? 0 : toRead);
    const instant now = bootNow();
    auto message = makeForwarded(m_context, m_request, engine->entry, now);
    if (reader) {
        m_context.platform.wire.engine.useHandle(message, reader->entry, handle);
    } else if (holder) {
        m_context.platform.wire.engine.fetchParts(message, holder->entry);
    }
    if (m_lastEvent) {
        message.set(fromView(m_context.platform.wire.fields.lastEventId), std::to_string(*m_lastEvent));
    }
    const bool canMove = m_route.resumable && m_outcome.attempts + 1 < m_route.maxAttempts;
    const auto patience = firstEventPatience + std::chrono::milliseconds(std::lround(2 * placed.firstEventMs));
    const instant deadline = canMove ? std::min<instant>(m_request.deadline, now + patience) : m_request.deadline;
    auto exchange = std::make_shared<client_exchange>(m_context.pool, *address, forwardOptions(m_context, m_request, deadline));
    m_request.reply->onGone([exchange] {
        exchange->cancel();
    });
    m_outcome.endpoint = engine->entry.id;
    exchange_state state = exchange_state::NotSent;
    {
        const due_answer due(engine, now + std::chrono::milliseconds(std::lround(3 * placed.firstEventMs + 100)));
        state = co_await exchange->begin(message);
    }
    const bool unused = state == exchange_state::NotSent
        || (state != exchange_state::Lost && state != exchange_state::TimedOut && state != exchange_state::Cancelled && state != exchange_state::Malformed
            && saysNotRun(m_context, exchange->head()));
    if (unused && !handle.empty()) {
        freeHandle(reader, handle);
    }
    const auto result = co_await deliver(engine, exchange, state, claim);
    m_request.reply->onGone(nullptr);
    co_return result;
}

task<std::string> stream_session::readPrompt(const endpoint_ptr &reader, const endpoint_ptr &holder, double tokens, double predictedMs)
{
    if (m_readings++ > 0 && !takeExtra()) {
        co_return std::string();
    }
    const auto address = parseAddress(reader->entry.address);
    if (!address.ok()) {
        m_failed.insert(reader->entry.id);
        co_return std::string();
    }
    const instant now = bootNow();
    auto message = makeForwarded(m_context, m_request, reader->entry, now);
    m_context.platform.wire.engine.askReading(message);
    if (holder) {
        m_context.platform.wire.engine.fetchParts(message, holder->entry);
    }
    const bool waited = reader->own.promptTokens + reader->peers.promptTokens > 0;
    const auto patience = std::chrono::milliseconds(std::lround(readingPatience * predictedMs)) + readingSlack;
    load_claim claim(reader, tokens);
    noteLoadNews(m_context, tokens);
    const auto exchange = std::make_shared<client_exchange>(
        m_context.pool, *address, forwardOptions(m_context, m_request, std::min<instant>(m_request.deadline, now + patience)));
    m_request.reply->onGone([exchange] {
        exchange->cancel();
    });
    const due_answer due(reader, now + std::chrono::milliseconds(std::lround(2 * predictedMs + 100)));
    std::string body;
    auto state = co_await exchange->begin(message);
    if (state == exchange_state::Going) {
        state = co_await exchange->readAll(body, maxErrorBytes);
    }
    noteLoadNews(m_context, tokens); // Sent after the claim has ended.
    m_request.reply->onGone(nullptr);
    const bool answered = state == exchange_state::Whole;
    const double took = toMs(bootNow() - now);
    if (state == exchange_state::Cancelled) {
        co_return std::string();
    }
    attempt_result result = attempt_result::Failed;
    std::optional<std::string> handle;
    if (answered) {
        if (exchange->head().result() == http::status::ok) {
            handle = m_context.platform.wire.engine.parseHandle(body);
            result = handle ? attempt_result::Good : attempt_result::Failed;
        } else if (saysNotRun(m_context, exchange->head())) {
            result = attempt_result::Rejected;
        }
    } else if (state == exchange_state::NotSent) {
        result = attempt_result::Unreachable;
        --m_readings;
    } else if (state == exchange_state::Lost) {
        result = attempt_result::Broken;
        noteLostConnection(m_context, *reader, m_request.fingerprint);
    } else if (state == exchange_state::TimedOut) {
        result = attempt_result::Silent;
    }
    m_context.endpoints.noteResult(*reader, result, bootNow());
    auto line = m_context.line("read_prompt");
    line.add("id", m_request.id).add("endpoint", reader->entry.id).add("tokens", tokens).add("predicted_ms", predictedMs).add("ms", took);
    line.add("state", toText(state)).add("status", answered ? static_cast<int>(exchange->head().result_int()) : 0);
    m_context.log.write(line);
    if (!handle) {
        m_failed.insert(reader->entry.id);
        co_return std::string();
    }
    noteSpeed(reader, waited, tokens, took);
    co_return *handle;
}

// Judges the head of the answer; only a good one lets the stream begin.
task<stream_session::step>
stream_session::deliver(const endpoint_ptr &engine, std::shared_ptr<client_exchange> exchange, exchange_state state, load_claim &claim)
{
    const instant now = bootNow();
    if (state == exchange_state::Cancelled) {
        m_outcome.reason = "caller_gone";
        co_return step::Done;
    }
    if (state == exchange_state::NotSent) {
        m_context.endpoints.noteResult(*engine, attempt_result::Unreachable, now);
        m_failed.insert(engine->entry.id);
        if (++m_unreachable > maxUnreachable) {
            co_return co_await refuse("unreachable", m_retryAfterMs);
        }
        co_return step::Again;
    }
    ++m_outcome.attempts;
    const bool hasHead = state == exchange_state::Going || state == exchange_state::Whole;
    if (hasHead) {
        if (saysNotRun(m_context, exchange->head())) {
            m_context.endpoints.noteResult(*engine, attempt_result::Rejected, now);
            m_failed.insert(engine->entry.id);
            exchange->cancel();
            if (mayTryAgain()) {
                co_return step::Again;
            }
            co_return co_await refuse("engine_full", m_retryAfterMs);
        }
    }
    m_mayHaveRun = true;
    if (!hasHead) {
        const bool silent = state == exchange_state::TimedOut;
        m_context.endpoints.noteResult(*engine, silent ? attempt_result::Silent : attempt_result::Broken, now);
        if (!silent) {
            noteLostConnection(m_context, *engine, m_request.fingerprint);
        }
        m_failed.insert(engine->entry.id);
        if (mayTryAgain()) {
            co_return step::Again;
        }
        co_return co_await fail(silent ? http::status::gateway_timeout : http::status::bad_gateway, toText(state));
    }
    if (exchange->head().result() == http::status::ok && isSealed(m_context, exchange->head())) {
        co_return co_await passEvents(*exchange, state, engine, claim);
    }
    // An error of the engine.
    m_context.endpoints.noteResult(*engine, attempt_result::Failed, now);
    m_failed.insert(engine->entry.id);
    std::string body;
    if (state == exchange_state::Going) {
        state = co_await exchange->readAll(body, maxErrorBytes);
    }
    if (mayTryAgain()) {
        co_return step::Again;
    }
    const int status = exchange->head().result_int();
    if (m_streaming || state != exchange_state::Whole || promisesNotRun(status) || status < 400 || !isSealed(m_context, exchange->head())) {
        co_return co_await fail(http::status::bad_gateway, "engine_failed");
    }
    http_response answer;
    answer.base() = makeAnswerHead(exchange->head());
    answer.body() = std::move(body);
    m_outcome.status = status;
    m_outcome.reason = "answered";
    co_await m_request.reply->send(std::move(answer));
    co_return step::Done;
}

task<stream_session::step> stream_session::passEvents(client_exchange &exchange, exchange_state state, const endpoint_ptr &engine, load_claim &claim)
{
    event_splitter events;
    std::string piece;
    bool first = true;
    while (true) {
        if (state == exchange_state::Going) {
            piece.clear();
            state = co_await exchange.readSome(piece);
            events.feed(piece);
        }
        std::string ready;
        while (const auto event = events.next()) {
            // After a resumption an engine may repeat events that the caller has.
            if (event->id && m_lastEvent && *event->id <= *m_lastEvent) {
                continue;
            }
            ready += event->bytes;
            if (event->id) {
                m_lastEvent = event->id;
            }
        }
        if (!ready.empty()) {
            if (first) {
                first = false;
                noteFirstEvent(engine, claim);
            }
            if (!m_streaming) {
                m_streaming = true;
                m_outcome.status = 200;
                if (!co_await m_request.reply->beginStream(makeAnswerHead(exchange.head()))) {
                    exchange.cancel();
                    m_outcome.reason = "caller_gone";
                    co_return step::Done;
                }
            }
            if (!co_await m_request.reply->sendPiece(ready)) {
                exchange.cancel();
                m_outcome.reason = "caller_gone";
                co_return step::Done;
            }
            if (m_route.resumable && m_outcome.attempts < m_route.maxAttempts && state == exchange_state::Going) {
                exchange.setDeadline(std::min<instant>(m_request.deadline, bootNow() + resumeAfter));
            }
        }
        if (state != exchange_state::Going) {
            break;
        }
    }
    const instant now = bootNow();
    if (state == exchange_state::Whole && !events.hasPartial() && m_streaming) {
        m_context.endpoints.noteResult(*engine, attempt_result::Good, now);
        m_context.suspects.noteSuccess(m_request.fingerprint, now);
        m_outcome.reason = "answered";
        co_await m_request.reply->endStream();
        co_return step::Done;
    }
    if (state == exchange_state::Cancelled || m_request.reply->gone()) {
        m_outcome.reason = "caller_gone";
        co_return step::Done;
    }
    m_context.endpoints.noteResult(*engine, state == exchange_state::TimedOut ? attempt_result::Silent : attempt_result::Broken, now);
    if (first) {
        noteLostConnection(m_context, *engine, m_request.fingerprint);
    }
    m_failed.insert(engine->entry.id);
    exchange.cancel();
    if (mayTryAgain()) {
        co_return step::Again;
    }
    co_return co_await fail(state == exchange_state::TimedOut ? http::status::gateway_timeout : http::status::bad_gateway, "stream_broken");
}

void stream_session::noteFirstEvent(const endpoint_ptr &engine, load_claim &claim)
{
    claim.promptRead();
    const double ms = toMs(bootNow() - m_request.arrivedAt);
    if (m_outcome.firstByteMs < 0) {
        m_outcome.firstByteMs = ms;
        m_context.counters.observe(metric_histogram::FirstTokenMs, ms);
        m_context.usage.note(m_request.organisation, m_context.trueTimeMs());
    }
    noteParts(engine);
}

void stream_session::noteSpeed(const endpoint_ptr &engine, bool waited, double tokens, double tookMs) const
{
    if (waited || tokens < speedTokens) {
        return;
    }
    const auto &model = m_context.settings.engines;
    const double kept = m_prompt ? std::max(0.0, m_prompt->promptTokens - tokens) : 0;
    const double predicted = readingMs(model, engine->entry.role.value_or(endpoint_role::Mixed), tokens, kept, engine->own.running);
    const double measured = std::clamp((tookMs - model.firstTokenMs) / predicted, 0.5, 10.0);
    engine->slowness += speedWeight * (measured - engine->slowness);
}

void stream_session::noteParts(const endpoint_ptr &engine)
{
    if (!m_prompt || m_prompt->parts.empty()) {
        return;
    }
    // The last part belongs to the request itself.
    double unshared = m_prompt->promptTokens;
    const auto shared = std::span(m_prompt->parts).first(m_prompt->parts.size() - 1);
    for (const auto &part : shared) {
        unshared -= part.tokens;
    }
    unshared = std::max(0.0, unshared);
    m_context.parts.noteUnshared(engine->hash, unshared);
    for (const auto &part : shared) {
        m_context.parts.noteUse(part, engine->hash);
        m_context.freshParts.push_back({part.id, engine->hash, part.tokens, std::exchange(unshared, 0)});
    }
}

task<void> sendFree(edge_context &context, tcp::endpoint address, http_request message)
{
    const auto answer = co_await callServer(context.pool, address, std::move(message), {.deadline = bootNow() + freeTimeout});
    if (!answer.ok()) {
        auto line = context.line("handle_not_freed");
        line.add("error", answer.status().ToString());
        context.log.write(line);
    }
}

void stream_session::freeHandle(const endpoint_ptr &holder, const std::string &handle) const
{
    if (const auto address = parseAddress(holder->entry.address); address.ok()) {
        asio::co_spawn(m_context.loop, sendFree(m_context, *address, m_context.platform.wire.engine.freeHandle(handle)), asio::detached);
    }
}

task<stream_session::step> stream_session::refuse(std::string_view code, double retryAfterMs)
{
    if (m_mayHaveRun) {
        co_return co_await fail(http::status::bad_gateway, code);
    }
    m_outcome.status = 503;
    m_outcome.reason = m_request.reply->gone() ? "caller_gone" : code;
    co_await m_request.reply->send(makeRefusal(m_context, http::status::service_unavailable, code, "the request has not run and will not", retryAfterMs));
    co_return step::Done;
}

// A stream that has begun can't be answered any more: its connection ends without the end of the stream.
task<stream_session::step> stream_session::fail(http::status status, std::string_view code)
{
    m_outcome.reason = code;
    if (m_streaming) {
        co_return step::Done;
    }
    m_outcome.status = static_cast<int>(status);
    if (status == http::status::service_unavailable) {
        co_return co_await refuse(code, m_retryAfterMs);
    }
    co_await m_request.reply->send(makeRefusal(m_context, status, code, "the request may have run"));
    co_return step::Done;
}

}

task<caller_outcome> forwardStream(edge_context &context, caller_request &request)
{
    stream_session session(context, request);
    co_return co_await session.run();
}

}
