#include "serving/caller_exchange.h"

#include "serving/body_kind.h"
#include "serving/caller_admission.h"
#include "serving/ejection_watch.h"
#include "serving/endpoint_turn.h"
#include "serving/event_stream.h"
#include "serving/hedge_watch.h"
#include "serving/pace_samples.h"
#include "serving/peer_exchange.h"
#include "serving/placement_log.h"
#include "serving/stream_takeover.h"
#include "transport/boot_clock.h"
#include "transport/spawn.h"
#include "transport/timeout.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr int maxUnreachableEngines = 4; // Unreachable engines and failed prefills that one request tolerates.
constexpr std::size_t maxEventBytes = 1U << 20U; // An event is passed on when it is complete.
constexpr std::size_t maxErrorBytes = 1U << 20U; // Limit of a response body that is not a stream.
constexpr auto prefillTimeoutMargin = std::chrono::milliseconds(400); // Added to the scaled prediction before a prefill counts as timed out.
constexpr double prefillTimeoutFactor = 3; // Predictions can be too low by this factor when several daemons send at the same time.
// After this long without an event, another engine is asked to take the stream over. Callers abandon a silent stream after two seconds.
constexpr auto eventTimeout = std::chrono::milliseconds(1000);
// The same without a first event; twice the predicted time to it is added.
constexpr auto firstEventTimeout = std::chrono::milliseconds(1500);
constexpr auto takeoverRetryInterval = std::chrono::milliseconds(250); // Until another engine is looked for again.
constexpr double minSpeedSampleTokens = 1000; // The time of a shorter prefill depends more on the network than on the engine.
constexpr double slowdownSmoothing = 0.2; // Weight of a new sample: a slow engine shows after five prefills.
constexpr int separatePrefillClass = 100; // Added to the size class: the first event then waits only for the KV transfer and a step.
constexpr auto freeHandleTimeout = std::chrono::milliseconds(500);

/// Serves one streaming request: places it, runs the prefill on a separate engine if placed so, forwards the events, and retries or resumes.
class stream_session
{
public:
    stream_session(edge_context &context, caller_request &request);
    task<caller_outcome> run();
    /// What placement predicts for the request now.
    admission_outlook predict() const;

private:
    enum class step {
        Done, ///< The caller has received its final answer, or no answer is possible any more.
        Retry, ///< The request may be placed again on another engine.
        TakenOver ///< Another engine has begun to answer in place of a silent one.
    };

    generation_input makePlacementInput(const std::vector<endpoint_ptr> &engines) const;
    task<step> attempt(const generation_input &input, const generation_result &placement, const std::vector<endpoint_ptr> &engines);
    /// Runs the prefill on `prefillEngine` and returns its KV handle, which is empty when the prefill failed. `tokens` are the prompt tokens that
    /// are not cached.
    task<std::string> prefillPrompt(const endpoint_ptr &prefillEngine, const endpoint_ptr &kvSource, double tokens, double predictedMs);
    task<step> handleResponse(const endpoint_ptr &engine, std::shared_ptr<client_exchange> exchange, exchange_state state, load_reservation &reservation);
    task<step> forwardEvents(std::shared_ptr<client_exchange> exchange, exchange_state state, const endpoint_ptr &engine, load_reservation &reservation);
    task<step> refuse(std::string_view code, double retryAfterMs);
    task<step> fail(http::status status, std::string_view code);
    void logDecision(const generation_input &input, const generation_result &placement) const;
    /// Looks for an engine to take the stream over when no event has arrived at the end of `time`.
    void watchForSilence(std::shared_ptr<client_exchange> exchange, const endpoint_ptr &engine, duration time);
    /// Sends the stream to another engine too, or to `hedgeAt` before the first event if that is not empty. Returns false if it is not sent.
    bool startTakeover(const std::shared_ptr<client_exchange> &exchange, std::string_view hedgeAt = {});
    /// Sends the stream to a second engine if the first event comes late and hedging is on.
    void watchForHedge(std::shared_ptr<client_exchange> exchange, const endpoint_ptr &engine, bool separatePrefill);
    std::optional<hedge_choice> placeHedge(const std::function<bool(const endpoint_state &)> &mayTake) const;
    void endHedge(hedge_end result);
    /// Counts the failure of an engine, unless its exchange was cancelled for a hedge.
    void noteFailure(const endpoint_ptr &engine, attempt_result result);
    /// Counts a takeover that has failed or is given up.
    void dropTakeover();
    /// Waits for a takeover that is under way. Returns whether its engine has begun to answer.
    task<bool> isTakenOver();
    task<step> adoptTakeover(const endpoint_ptr &silentEngine);
    void notePrefixBlocks(const endpoint_ptr &engine);
    void freeKvHandle(const endpoint_ptr &prefillEngine, const std::string &handle) const;
    void noteFirstEvent(const endpoint_ptr &engine, load_reservation &reservation);
    /// Updates the engine's slowdown from the time of a prefill, unless the prefill was queued behind others or too short.
    void updateSlowdown(const endpoint_ptr &engine, bool wasQueued, double tokens, double elapsedMs) const;
    bool mayRetry() const;
    /// Notes the result of an engine whose stream may be taken over, and whether its exchange was cancelled for that.
    void noteIfLeft(const endpoint_ptr &engine, const client_exchange &exchange, exchange_state state);
    /// Leaves the engine that was silent as the only choice. Returns false if there is none.
    bool returnToSilentEngine();
    /// Acquires a retry from the budget, unless `acquired` says that one is left from a request that was not sent.
    bool acquireRetry(bool &acquired);

    edge_context &m_context;
    caller_request &m_request;
    const serving_route &m_route;
    const std::optional<prompt_info> &m_prompt;
    caller_outcome m_outcome;
    std::set<std::string> m_failed;
    /// The engine that was left because it was silent. It has not failed, so it may be asked once more when all attempts are used up: it counts among them.
    std::string m_silentEngine;
    std::string m_onlyEngine; ///< Placement has no other choice; empty: any engine.
    int m_unreachable = 0;
    int m_prefillAttempts = 0; ///< Prefill requests sent; the first one needs no retry budget.
    bool m_retryAcquired = false; ///< For an attempt that has not been sent yet.
    bool m_prefillRetryAcquired = false; ///< For a prefill request that has not been sent yet.
    bool m_mayHaveRun = false; ///< A decode engine may have run the request.
    bool m_streaming = false; ///< The response head was sent to the caller.
    std::optional<std::uint64_t> m_lastEventId; ///< Id of the last event sent to the caller.
    double m_retryAfterMs = 250;
    bool m_awaitsHead = false; ///< The attempt under way is not counted in m_outcome yet.
    prompt_timer m_promptTimer; ///< Of the attempt under way, if its engine also does the prefill; without an engine otherwise.
    timeout m_silence;
    std::shared_ptr<stream_takeover> m_takeover; ///< Null if none is under way.
    std::optional<hedge_watch> m_hedge; ///< Empty while hedging is off.
    std::string m_readAhead; ///< Bytes of the stream that were read before it was taken over.
    bool m_leftForHedge = false; ///< The exchange under way was cancelled for a hedge that failed later.
    bool m_leftAfterSending = false; ///< The engine that was left had the whole request.
    attempt_result m_leftResult = attempt_result::NoAnswer; ///< How the exchange of the engine ended whose stream is taken over.
};

stream_session::stream_session(edge_context &context, caller_request &request)
    : m_context(context)
    , m_request(request)
    , m_route(*request.route)
    , m_prompt(request.prompt)
    , m_silence(context.loop)
{
}

generation_input stream_session::makePlacementInput(const std::vector<endpoint_ptr> &engines) const
{
    const instant now = bootNow();
    generation_input input{
        .requestId = m_request.id,
        .configVersion = m_request.configuration->version,
        .promptTokens = m_prompt ? m_prompt->promptTokens : 0,
        .elapsedMs = toTenth(toMs(now - m_request.arrivedAt)),
        .targetMs = toTenth(toMs(m_route.target)),
        .remainingMs = toTenth(toMs(m_request.deadline - now)),
        .mayDisaggregate = m_prompt && m_prompt->promptTokens > 0 && !m_streaming,
        .peerAgeMs = toTenth(m_context.exchange.ageMs(bootNow())),
        .jitter = toTenth(m_context.jitter()),
    };
    const auto service = m_request.configuration->services.find(m_request.service);
    const bool known = service != m_request.configuration->services.end() && service->second.engine;
    if (known) {
        input.kvTokenBytes = service->second.engine->kvTokenBytes;
        input.linkMbps = service->second.engine->linkMbps;
    }
    input.uneven = makeUnevenPace(m_context, m_request.service, now);
    const turn_times turns(m_context, now);
    const ejection_view ejections(m_context, engines, m_failed, m_route.resumable && m_route.maxAttempts > 1, now);
    for (const auto &engine : engines) {
        input.engines.push_back({
            .id = engine->entry.id,
            .role = engine->entry.role.value_or(endpoint_role::Mixed),
            .local = engine->entry.failureDomain == m_context.settings.failureDomain,
            .excluded = !engine->usable(now) || m_failed.contains(engine->entry.id) || (!m_onlyEngine.empty() && m_onlyEngine != engine->entry.id)
                || (m_onlyEngine.empty() && ejections.excludes(*engine)),
            .running = engine->own.running + engine->peers.running,
            .slots = known ? service->second.engine->slots : std::max(1, engine->entry.slots),
            .queuedTokens = std::round(engine->own.promptTokens + engine->peers.promptTokens),
            .cachedTokens = m_prompt ? std::round(m_context.prefixBlocks.cachedTokens(m_prompt->prefixBlocks, engine->hash)) : 0,
            .slowdown = input.uneven ? 1 : toHundredth(engine->slowdown), // The pace contains it.
            .failureRate = ejections.failureRate(*engine, false),
            .overdueMs = engine->overdueMs(now),
            .heldMs = turns.heldMs(*engine),
            .pace = input.uneven ? toHundredth(engine->pace.estimate(now, input.uneven->work)) : 1,
        });
    }
    return input;
}

bool stream_session::mayRetry() const
{
    return (m_outcome.attempts < m_route.maxAttempts || !m_silentEngine.empty()) && (!m_mayHaveRun || m_route.resumable);
}

void stream_session::noteIfLeft(const endpoint_ptr &engine, const client_exchange &exchange, exchange_state state)
{
    const bool refused = hasHead(state) && isMarkedNotExecuted(m_context, exchange.head());
    m_leftResult = refused                  ? attempt_result::Rejected
        : state == exchange_state::NotSent  ? attempt_result::Unreachable
        : hasHead(state)                    ? attempt_result::Failed
        : state == exchange_state::TimedOut ? attempt_result::NoAnswer
                                            : attempt_result::ConnectionLost;
    if (state == exchange_state::Cancelled) {
        m_silentEngine = engine->entry.id;
        m_leftAfterSending = exchange.requestSent();
    }
}

bool stream_session::returnToSilentEngine()
{
    if (m_silentEngine.empty()) {
        return false;
    }
    m_onlyEngine = std::exchange(m_silentEngine, std::string());
    m_failed.erase(m_onlyEngine);
    return true;
}

bool stream_session::acquireRetry(bool &acquired)
{
    acquired = acquired || m_context.retryBudget.tryAcquire(m_request.service, m_context.daemons(), bootNow());
    return acquired;
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
        if (m_outcome.attempts >= m_route.maxAttempts && !returnToSilentEngine()) {
            co_await refuse("attempts", m_retryAfterMs);
            break;
        }
        const auto engines = m_context.endpoints.ofService(m_request.service);
        const auto input = makePlacementInput(engines);
        const auto placement = placeGeneration(input, m_context.settings.engines);
        logDecision(input, placement);
        // A stream whose head was sent continues on any engine with room. A request that may have run can no longer be refused as "not run", and
        // a late answer is better than a failure.
        if (placement.decodeIndex < 0 || (placement.verdict == placement_verdict::Refuse && !m_streaming && !m_mayHaveRun)) {
            co_await refuse(placement.reason, placement.retryAfterMs);
            break;
        }
        if (crashesEndpoints(m_context, m_request)) {
            co_await refuse("crashes_endpoints", crashRetryAfterMs);
            break;
        }
        if (m_outcome.attempts > 0 && !acquireRetry(m_retryAcquired)) {
            co_await refuse("retry_budget", m_retryAfterMs);
            break;
        }
        if (co_await attempt(input, placement, engines) == step::Done) {
            break;
        }
    }
    co_return m_outcome;
}

task<stream_session::step> stream_session::attempt(const generation_input &input, const generation_result &placement, const std::vector<endpoint_ptr> &engines)
{
    const auto at = [&](int index) {
        return index < 0 ? nullptr : engines[static_cast<std::size_t>(index)];
    };
    auto engine = at(placement.decodeIndex);
    const auto prefillEngine = at(placement.prefillIndex);
    const auto kvSource = at(placement.kvSourceIndex);
    const auto &promptEngine = prefillEngine ? prefillEngine : engine;
    const double cachedTokens
        = std::max(input.engines[static_cast<std::size_t>(placement.prefillIndex < 0 ? placement.decodeIndex : placement.prefillIndex)].cachedTokens,
                   placement.kvSourceIndex < 0 ? 0 : input.engines[static_cast<std::size_t>(placement.kvSourceIndex)].cachedTokens);
    const double uncachedTokens = std::max(0.0, input.promptTokens - cachedTokens);
    notePrefixBlocks(promptEngine);
    m_promptTimer = {};

    std::string handle;
    if (prefillEngine) {
        // Reserve the slot on the decode engine during the prefill, so that other requests take it into account.
        load_reservation reserved(engine, 0);
        handle = co_await prefillPrompt(prefillEngine, kvSource, uncachedTokens, placement.prefillDoneMs);
        if (handle.empty()) {
            if (m_request.reply->gone() || ++m_unreachable > maxUnreachableEngines) {
                co_return co_await refuse("reading_failed", m_retryAfterMs);
            }
            co_return step::Retry;
        }
        if (m_request.reply->gone()) {
            freeKvHandle(prefillEngine, handle);
            m_outcome.reason = "caller_gone";
            co_return step::Done;
        }
        if (crashesEndpoints(m_context, m_request)) {
            freeKvHandle(prefillEngine, handle);
            co_return co_await refuse("crashes_endpoints", crashRetryAfterMs);
        }
        // The decode engine of the first placement may be leaving or busier by now, so choose again.
        const auto enginesNow = m_context.endpoints.ofService(m_request.service);
        const int decodeIndex
            = placeDecode(makePlacementInput(enginesNow), m_context.settings.engines, prefillEngine->entry.failureDomain == m_context.settings.failureDomain);
        if (decodeIndex < 0) {
            freeKvHandle(prefillEngine, handle);
            co_return co_await refuse("engines_full", m_retryAfterMs);
        }
        engine = enginesNow[static_cast<std::size_t>(decodeIndex)];
    }
    const auto address = parseAddress(engine->entry.address);
    if (!address.ok()) {
        m_failed.insert(engine->entry.id);
        co_return step::Retry;
    }
    if (!prefillEngine && !kvSource && !m_lastEventId) {
        m_promptTimer = startPromptTimer(engine, uncachedTokens, cachedTokens, bootNow());
    }
    load_reservation reservation(engine, prefillEngine ? 0 : uncachedTokens);
    expediteSummary(m_context, prefillEngine ? 0 : uncachedTokens);
    if (!co_await awaitTurn(m_context, m_request, engine)) {
        if (!handle.empty()) {
            freeKvHandle(prefillEngine, handle);
        }
        if (m_request.reply->gone() || ++m_unreachable > maxUnreachableEngines) {
            co_return co_await refuse("engines_limited", m_retryAfterMs);
        }
        co_return step::Retry;
    }
    const instant now = bootNow();
    m_promptTimer.sentAt = now;
    auto message = makeForwardedRequest(m_context, m_request, engine->entry, now);
    if (prefillEngine) {
        m_context.platform.wire.engine.setKvSource(message, prefillEngine->entry, handle);
    } else if (kvSource) {
        m_context.platform.wire.engine.fetchCachedPrefix(message, kvSource->entry);
    }
    if (m_lastEventId) {
        message.set(fromView(m_context.platform.wire.fields.lastEventId), std::to_string(*m_lastEventId));
    }
    auto exchange = std::make_shared<client_exchange>(m_context.pool, *address, forwardOptions(m_context, m_request, m_request.deadline));
    m_request.reply->onDisconnect([exchange] {
        exchange->cancel();
    });
    m_outcome.endpoint = engine->entry.id;
    watchForSilence(exchange, engine, firstEventTimeout + std::chrono::milliseconds(std::lround(2 * placement.firstEventMs)));
    watchForHedge(exchange, engine, prefillEngine != nullptr);
    exchange_state state = exchange_state::NotSent;
    {
        const answer_deadline answerDeadline(engine, now + std::chrono::milliseconds(std::lround(3 * placement.firstEventMs + 100)));
        m_awaitsHead = true;
        const bool acquired = std::exchange(m_retryAcquired, false);
        m_request.trialSent = m_request.isTrial;
        state = co_await exchange->begin(message);
        m_request.trialSent = m_request.trialSent && state != exchange_state::NotSent;
        m_retryAcquired = m_retryAcquired || (acquired && state == exchange_state::NotSent);
        m_awaitsHead = false;
    }
    if (hasHead(state)) {
        noteAnswer(m_context, *engine, exchange->head(), now);
    }
    const bool notExecuted = state == exchange_state::NotSent || (hasHead(state) && isMarkedNotExecuted(m_context, exchange->head()));
    if (notExecuted && !handle.empty()) {
        freeKvHandle(prefillEngine, handle);
    }
    auto result = co_await handleResponse(engine, exchange, state, reservation);
    while (result == step::TakenOver) {
        const auto silentEngine = std::exchange(engine, m_takeover->engine);
        reservation.release();
        result = co_await adoptTakeover(silentEngine);
    }
    m_silence.cancel();
    dropTakeover();
    endHedge(m_request.reply->gone() ? hedge_end::CallerGone : hedge_end::FirstFailed);
    m_request.reply->onDisconnect(nullptr);
    co_return result;
}

void stream_session::logDecision(const generation_input &input, const generation_result &placement) const
{
    auto line = m_context.line("place_generation");
    line.add("attempt", m_outcome.attempts + 1);
    logPlacement(line, input, placement);
    m_context.log.write(line);
}

void stream_session::watchForSilence(std::shared_ptr<client_exchange> exchange, const endpoint_ptr &engine, duration time)
{
    if (!m_route.resumable) {
        return;
    }
    m_silence.start(time, [this, exchange = std::move(exchange), engine] {
        if (m_takeover && m_takeover->ended && !m_takeover->begun) {
            dropTakeover();
        }
        if (m_outcome.attempts + (m_awaitsHead ? 1 : 0) < m_route.maxAttempts && m_unreachable <= maxUnreachableEngines) {
            if (!m_takeover) {
                startTakeover(exchange);
            }
            watchForSilence(exchange, engine, takeoverRetryInterval);
        }
    });
}

void stream_session::watchForHedge(std::shared_ptr<client_exchange> exchange, const endpoint_ptr &engine, bool separatePrefill)
{
    m_leftForHedge = false;
    if (!(m_context.settings.hedgeRatio > 0) || !m_route.resumable || m_streaming) {
        return;
    }
    if (!m_hedge) {
        m_hedge.emplace(m_context, m_request);
    }
    const int size = sizeClass(m_prompt ? m_prompt->promptTokens : 0) + (separatePrefill ? separatePrefillClass : 0);
    m_hedge->start(engine,
                   size,
                   maxTakeoverOverlap,
                   {
                       .attempts =
                           [this] {
                               return m_outcome.attempts + (m_awaitsHead ? 1 : 0);
                           },
                       .hasFailed =
                           [this](const std::string &id) {
                               return m_failed.contains(id);
                           },
                       .place =
                           [this](const auto &mayTake) {
                               return placeHedge(mayTake);
                           },
                       .send =
                           [this, exchange = std::move(exchange)](const hedge_choice &choice) {
                               return !m_takeover && startTakeover(exchange, choice.endpoint->entry.id);
                           },
                   });
}

std::optional<hedge_choice> stream_session::placeHedge(const std::function<bool(const endpoint_state &)> &mayTake) const
{
    const auto engines = m_context.endpoints.ofService(m_request.service);
    auto input = makePlacementInput(engines);
    input.mayDisaggregate = false;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        input.engines[i].excluded = input.engines[i].excluded || input.engines[i].heldMs > 0 || !mayTake(*engines[i]);
    }
    const auto placement = placeGeneration(input, m_context.settings.engines);
    if (placement.decodeIndex < 0) {
        return std::nullopt;
    }
    return hedge_choice{engines[static_cast<std::size_t>(placement.decodeIndex)], placement.firstEventMs};
}

void stream_session::endHedge(hedge_end result)
{
    if (m_hedge) {
        m_hedge->end(result);
    }
}

void stream_session::noteFailure(const endpoint_ptr &engine, attempt_result result)
{
    if (!std::exchange(m_leftForHedge, false)) {
        m_context.endpoints.noteResult(*engine, result, bootNow());
    }
}

bool stream_session::startTakeover(const std::shared_ptr<client_exchange> &exchange, std::string_view hedgeAt)
{
    if (m_request.reply->gone() || bootNow() >= m_request.deadline || crashesEndpoints(m_context, m_request)) {
        return false;
    }
    const auto engines = m_context.endpoints.ofService(m_request.service);
    auto input = makePlacementInput(engines);
    input.mayDisaggregate = false;
    for (auto &candidate : input.engines) {
        candidate.excluded = candidate.excluded || candidate.heldMs > 0 || candidate.id == m_outcome.endpoint || (!hedgeAt.empty() && candidate.id != hedgeAt);
    }
    const auto placement = placeGeneration(input, m_context.settings.engines);
    if (placement.decodeIndex < 0 || !acquireRetry(m_retryAcquired)) {
        return false;
    }
    const auto &engine = engines[static_cast<std::size_t>(placement.decodeIndex)];
    const auto address = parseAddress(engine->entry.address);
    if (!address.ok() || !takeTurnNow(m_context, *engine)) {
        return false;
    }
    m_retryAcquired = false;
    logDecision(input, placement);
    const instant now = bootNow();
    auto message = makeForwardedRequest(m_context, m_request, engine->entry, now);
    if (placement.kvSourceIndex >= 0) {
        m_context.platform.wire.engine.fetchCachedPrefix(message, engines[static_cast<std::size_t>(placement.kvSourceIndex)]->entry);
    }
    if (m_lastEventId) {
        message.set(fromView(m_context.platform.wire.fields.lastEventId), std::to_string(*m_lastEventId));
    }
    const double cachedTokens = input.engines[static_cast<std::size_t>(placement.decodeIndex)].cachedTokens;
    m_takeover = std::make_shared<stream_takeover>(m_context.loop, engine, std::max(0.0, input.promptTokens - cachedTokens));
    const bool isLast = m_outcome.attempts + (m_awaitsHead ? 1 : 0) + 1 >= m_route.maxAttempts;
    const auto limit = firstEventTimeout + std::chrono::milliseconds(std::lround(2 * placement.firstEventMs));
    const instant deadline = isLast ? m_request.deadline : std::min<instant>(m_request.deadline, now + limit);
    m_takeover->exchange = std::make_shared<client_exchange>(m_context.pool, *address, forwardOptions(m_context, m_request, deadline));
    m_request.reply->onDisconnect([exchange, other = m_takeover->exchange] {
        exchange->cancel();
        other->cancel();
    });
    notePrefixBlocks(engine);
    m_takeover->isHedge = !hedgeAt.empty();
    if (!m_takeover->isHedge) {
        auto line = m_context.line("takeover");
        line.add("id", m_request.id).add("silent", m_outcome.endpoint).add("endpoint", engine->entry.id);
        m_context.log.write(line);
    }
    spawnBackground(m_context.loop, runTakeover(m_context, m_takeover, std::move(message), exchange), "take_stream_over");
    return true;
}

void stream_session::dropTakeover()
{
    if (!m_takeover) {
        return;
    }
    const auto takeover = std::exchange(m_takeover, nullptr);
    const bool sent = takeover->exchange->requestSent();
    takeover->dropped = true;
    if (!takeover->ended || takeover->begun) {
        takeover->exchange->cancel();
    } else {
        m_failed.insert(takeover->engine->entry.id);
        if (takeover->state == exchange_state::Lost || takeover->state == exchange_state::Malformed) {
            checkForCrash(m_context, *takeover->engine, m_request);
        }
    }
    if (!sent) {
        m_retryAcquired = true;
        ++m_unreachable;
        return;
    }
    ++m_outcome.attempts;
    const bool refused = takeover->ended && hasHead(takeover->state) && isMarkedNotExecuted(m_context, takeover->exchange->head());
    m_mayHaveRun = m_mayHaveRun || !refused;
    if (takeover->isHedge) {
        m_leftForHedge = takeover->committed;
        if (!refused) {
            m_context.usage.countRequest(m_request.organisation, m_context.correctedTimeMs());
        }
    }
}

task<bool> stream_session::isTakenOver()
{
    m_silence.cancel();
    if (!m_takeover) {
        co_return false;
    }
    const auto takeover = m_takeover; // Named, because it is an argument of an awaited call.
    co_await awaitTakeover(takeover);
    if (!takeover->begun) {
        dropTakeover();
    }
    co_return takeover->begun;
}

task<stream_session::step> stream_session::adoptTakeover(const endpoint_ptr &silentEngine)
{
    const auto takeover = std::exchange(m_takeover, nullptr);
    const bool left = m_silentEngine == silentEngine->entry.id;
    if (!takeover->isHedge) {
        m_context.endpoints.noteResult(*silentEngine, attempt_result::NoAnswer, bootNow());
    } else if (!left) {
        m_context.endpoints.noteResult(*silentEngine, m_leftResult, bootNow());
    } else if (m_leftAfterSending) {
        m_context.usage.countRequest(m_request.organisation, m_context.correctedTimeMs());
    }
    endHedge(!takeover->isHedge ? hedge_end::FirstUnanswered : left ? hedge_end::SecondAnswered : hedge_end::SecondAfterFailure);
    m_failed.insert(silentEngine->entry.id);
    m_outcome.endpoint = takeover->engine->entry.id;
    m_readAhead = std::move(takeover->received);
    takeover->exchange->setDeadline(m_request.deadline); // The limit of the first event has served its purpose.
    m_request.reply->onDisconnect([exchange = takeover->exchange] {
        exchange->cancel();
    });
    watchForSilence(takeover->exchange, takeover->engine, eventTimeout);
    co_return co_await handleResponse(takeover->engine, takeover->exchange, takeover->state, takeover->reservation);
}

task<std::string> stream_session::prefillPrompt(const endpoint_ptr &prefillEngine, const endpoint_ptr &kvSource, double tokens, double predictedMs)
{
    if (m_prefillAttempts++ > 0 && !acquireRetry(m_prefillRetryAcquired)) {
        co_return std::string();
    }
    const auto address = parseAddress(prefillEngine->entry.address);
    if (!address.ok()) {
        m_failed.insert(prefillEngine->entry.id);
        co_return std::string();
    }
    const bool wasQueued = prefillEngine->own.promptTokens + prefillEngine->peers.promptTokens > 0;
    auto timer = startPromptTimer(prefillEngine, tokens, m_prompt ? std::max(0.0, m_prompt->promptTokens - tokens) : 0, bootNow());
    load_reservation reservation(prefillEngine, tokens);
    expediteSummary(m_context, tokens);
    if (!co_await awaitTurn(m_context, m_request, prefillEngine)) {
        --m_prefillAttempts;
        co_return std::string();
    }
    m_prefillRetryAcquired = false;
    const instant now = bootNow();
    timer.sentAt = now;
    auto message = makeForwardedRequest(m_context, m_request, prefillEngine->entry, now);
    m_context.platform.wire.engine.markPrefill(message);
    if (kvSource) {
        m_context.platform.wire.engine.fetchCachedPrefix(message, kvSource->entry);
    }
    const auto timeout = std::chrono::milliseconds(std::lround(prefillTimeoutFactor * predictedMs)) + prefillTimeoutMargin;
    const auto exchange = std::make_shared<client_exchange>(
        m_context.pool, *address, forwardOptions(m_context, m_request, std::min<instant>(m_request.deadline, now + timeout)));
    m_request.reply->onDisconnect([exchange] {
        exchange->cancel();
    });
    const answer_deadline answerDeadline(prefillEngine, now + std::chrono::milliseconds(std::lround(2 * predictedMs + 100)));
    std::string body;
    auto state = co_await exchange->begin(message);
    if (hasHead(state)) {
        noteAnswer(m_context, *prefillEngine, exchange->head(), now);
    }
    if (state == exchange_state::InProgress) {
        state = co_await exchange->readAll(body, maxErrorBytes);
    }
    expediteSummary(m_context, tokens); // The summary is sent after the reservation has ended.
    m_request.reply->onDisconnect(nullptr);
    const bool answered = state == exchange_state::Complete;
    const double elapsedMs = toMs(bootNow() - now);
    if (state == exchange_state::Cancelled) {
        co_return std::string();
    }
    attempt_result result = attempt_result::Failed;
    std::optional<std::string> handle;
    if (answered) {
        if (exchange->head().result() == http::status::ok) {
            handle = m_context.platform.wire.engine.parseKvHandle(body);
            // Without a length, only the missing handle shows that the answer broke off.
            const bool cut = !handle && exchange->endsWithConnection();
            result = handle ? attempt_result::Succeeded : cut ? attempt_result::ConnectionLost : attempt_result::Failed;
        } else if (isMarkedNotExecuted(m_context, exchange->head())) {
            result = attempt_result::Rejected;
        }
    } else if (state == exchange_state::NotSent) {
        result = attempt_result::Unreachable;
        --m_prefillAttempts;
    } else if (state == exchange_state::Lost) {
        result = attempt_result::ConnectionLost;
    } else if (state == exchange_state::TimedOut) {
        result = attempt_result::NoAnswer;
    }
    if (result == attempt_result::ConnectionLost) {
        checkForCrash(m_context, *prefillEngine, m_request);
    }
    m_context.endpoints.noteResult(*prefillEngine, result, bootNow());
    auto line = m_context.line("read_prompt");
    line.add("id", m_request.id).add("endpoint", prefillEngine->entry.id).add("tokens", tokens).add("predicted_ms", predictedMs).add("ms", elapsedMs);
    line.add("state", toText(state)).add("status", answered ? static_cast<int>(exchange->head().result_int()) : 0);
    m_context.log.write(line);
    if (!handle) {
        m_failed.insert(prefillEngine->entry.id);
        co_return std::string();
    }
    updateSlowdown(prefillEngine, wasQueued, tokens, elapsedMs);
    if (!kvSource) {
        notePromptTime(m_context, timer, bootNow());
    }
    co_return *handle;
}

// Decides by the response head: forwards the stream of a successful response, otherwise retries or reports the failure.
task<stream_session::step>
stream_session::handleResponse(const endpoint_ptr &engine, std::shared_ptr<client_exchange> exchange, exchange_state state, load_reservation &reservation)
{
    const bool streams = hasHead(state) && !isMarkedNotExecuted(m_context, exchange->head()) && exchange->head().result() == http::status::ok
        && isSealed(m_context, exchange->head()) && (!m_streaming || bodyKind(exchange->head()) != body_kind::Other);
    const bool taken = !streams && co_await isTakenOver();
    noteIfLeft(engine, *exchange, state);
    if (taken) {
        if (state == exchange_state::Lost) {
            checkForCrash(m_context, *engine, m_request);
        }
        ++m_outcome.attempts;
        m_mayHaveRun = true;
        co_return step::TakenOver;
    }
    const instant now = bootNow();
    if (state == exchange_state::Cancelled && !m_request.reply->gone()) {
        state = exchange_state::TimedOut; // It was given up for an engine that failed later.
    }
    if (state == exchange_state::Cancelled) {
        m_outcome.reason = "caller_gone";
        co_return step::Done;
    }
    if (state == exchange_state::NotSent) {
        m_context.endpoints.noteResult(*engine, attempt_result::Unreachable, now);
        m_failed.insert(engine->entry.id);
        if (++m_unreachable > maxUnreachableEngines) {
            co_return co_await refuse("unreachable", m_retryAfterMs);
        }
        co_return step::Retry;
    }
    ++m_outcome.attempts;
    const bool answered = hasHead(state);
    if (answered) {
        if (isMarkedNotExecuted(m_context, exchange->head())) {
            m_context.endpoints.noteResult(*engine, attempt_result::Rejected, now);
            m_failed.insert(engine->entry.id);
            exchange->cancel();
            if (mayRetry()) {
                co_return step::Retry;
            }
            co_return co_await refuse("engine_full", m_retryAfterMs);
        }
    }
    m_mayHaveRun = true;
    if (!answered) {
        const bool silent = state == exchange_state::TimedOut;
        endHedge(silent ? hedge_end::FirstUnanswered : hedge_end::FirstFailed);
        noteFailure(engine, silent ? attempt_result::NoAnswer : attempt_result::ConnectionLost);
        if (!silent) {
            checkForCrash(m_context, *engine, m_request);
        }
        m_failed.insert(engine->entry.id);
        if (mayRetry()) {
            co_return step::Retry;
        }
        co_return co_await fail(silent ? http::status::gateway_timeout : http::status::bad_gateway, toText(state));
    }
    if (streams) {
        co_return co_await forwardEvents(exchange, state, engine, reservation);
    }
    // The engine answered with an error.
    m_context.endpoints.noteResult(*engine, attempt_result::Failed, now);
    m_failed.insert(engine->entry.id);
    std::string body;
    if (state == exchange_state::InProgress) {
        state = co_await exchange->readAll(body, maxErrorBytes);
    }
    if (mayRetry()) {
        co_return step::Retry;
    }
    const int status = exchange->head().result_int();
    if (m_streaming || state != exchange_state::Complete || impliesNotExecuted(status) || status < 400 || !isSealed(m_context, exchange->head())) {
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

task<stream_session::step>
stream_session::forwardEvents(std::shared_ptr<client_exchange> exchange, exchange_state state, const endpoint_ptr &engine, load_reservation &reservation)
{
    event_splitter events;
    event_times times;
    std::string received = std::exchange(m_readAhead, std::string());
    events.feed(received);
    bool readsMore = received.empty();
    bool first = true;
    bool continues = !m_lastEventId; // A resumed stream goes on with an event after the last one.
    while (true) {
        if (state == exchange_state::InProgress && std::exchange(readsMore, true)) {
            received.clear();
            state = co_await exchange->readSome(received);
            events.feed(received);
        }
        std::string ready;
        while (const auto event = events.next()) {
            // After a resume the engine may repeat events that the caller has already received.
            if (event->id && m_lastEventId && *event->id <= *m_lastEventId) {
                continue;
            }
            if (!continues && !event->id) {
                exchange->cancel();
                state = exchange_state::Malformed;
                break;
            }
            continues = true;
            ready += event->bytes;
            if (event->id) {
                m_lastEventId = event->id;
            }
            times.last = bootNow();
            times.first = times.events++ == 0 ? times.last : times.first;
        }
        exchange->holdBytes(events.partialBytes());
        if (events.partialBytes() > maxEventBytes) {
            exchange->cancel();
            state = exchange_state::Malformed;
        }
        if (!ready.empty()) {
            if (first) {
                first = false;
                endHedge(hedge_end::FirstAnswered);
                noteFirstEvent(engine, reservation);
            }
            m_silence.cancel(); // The engine is not silent while the caller takes the events.
            if (m_takeover && !m_takeover->committed) {
                dropTakeover();
            }
            if (!m_streaming) {
                m_streaming = true;
                m_outcome.status = 200;
                if (!co_await m_request.reply->beginStream(makeAnswerHead(exchange->head()))) {
                    exchange->cancel();
                    m_outcome.reason = "caller_gone";
                    co_return step::Done;
                }
            }
            if (!co_await m_request.reply->sendChunk(ready)) {
                exchange->cancel();
                m_outcome.reason = "caller_gone";
                co_return step::Done;
            }
            if (state == exchange_state::InProgress) {
                watchForSilence(exchange, engine, eventTimeout);
            }
        }
        if (state != exchange_state::InProgress) {
            break;
        }
    }
    const instant now = bootNow();
    // After a resume, the end of a connection that brought no new event may also be that of the engine, and an empty body that of an error.
    const bool endIsProved = !first || (!exchange->endsWithConnection() && bodyKind(exchange->head()) == body_kind::Events);
    if (state == exchange_state::Complete && events.partialBytes() == 0 && m_streaming && endIsProved) {
        m_context.endpoints.noteResult(*engine, attempt_result::Succeeded, now);
        noteEventTimes(m_context, *engine, times);
        recordSuccess(m_context, m_request);
        m_outcome.reason = "answered";
        co_await m_request.reply->endStream();
        co_return step::Done;
    }
    const bool broken = state == exchange_state::Lost || state == exchange_state::Malformed;
    const bool taken = co_await isTakenOver();
    noteIfLeft(engine, *exchange, state);
    if (taken) {
        if (broken) {
            checkForCrash(m_context, *engine, m_request);
        }
        co_return step::TakenOver;
    }
    if (m_request.reply->gone()) {
        m_outcome.reason = "caller_gone";
        co_return step::Done;
    }
    const bool silent = state == exchange_state::TimedOut || state == exchange_state::Cancelled; // Cancelled for an engine that failed later.
    endHedge(silent ? hedge_end::FirstUnanswered : hedge_end::FirstFailed);
    noteFailure(engine, silent ? attempt_result::NoAnswer : attempt_result::ConnectionLost);
    if (!silent) {
        checkForCrash(m_context, *engine, m_request);
    }
    m_failed.insert(engine->entry.id);
    exchange->cancel();
    if (mayRetry()) {
        co_return step::Retry;
    }
    co_return co_await fail(silent ? http::status::gateway_timeout : http::status::bad_gateway, "stream_broken");
}

void stream_session::noteFirstEvent(const endpoint_ptr &engine, load_reservation &reservation)
{
    reservation.prefillDone();
    engine->ejection.noteAnswering(bootNow());
    const double ms = toMs(bootNow() - m_request.arrivedAt);
    if (m_outcome.firstByteMs < 0) {
        m_outcome.firstByteMs = ms;
        m_context.counters.observe(metric_histogram::FirstTokenMs, ms);
        m_context.usage.countRequest(m_request.organisation, m_context.correctedTimeMs());
    }
    notePrefixBlocks(engine);
    if (m_promptTimer.engine == engine) {
        notePromptTime(m_context, m_promptTimer, bootNow());
    }
}

void stream_session::updateSlowdown(const endpoint_ptr &engine, bool wasQueued, double tokens, double elapsedMs) const
{
    if (wasQueued || tokens < minSpeedSampleTokens) {
        return;
    }
    const auto &model = m_context.settings.engines;
    const double cachedTokens = m_prompt ? std::max(0.0, m_prompt->promptTokens - tokens) : 0;
    const double predicted = prefillMs(model, engine->entry.role.value_or(endpoint_role::Mixed), tokens, cachedTokens, engine->own.running);
    const double sample = std::clamp((elapsedMs - model.firstTokenOverheadMs) / predicted, 0.5, 10.0);
    engine->slowdown += slowdownSmoothing * (sample - engine->slowdown);
}

void stream_session::notePrefixBlocks(const endpoint_ptr &engine)
{
    if (!m_prompt || m_prompt->prefixBlocks.empty()) {
        return;
    }
    // The last block is not shared with other requests, so it counts towards the unshared suffix.
    double unshared = m_prompt->promptTokens;
    const auto shared = std::span(m_prompt->prefixBlocks).first(m_prompt->prefixBlocks.size() - 1);
    for (const auto &block : shared) {
        unshared -= block.tokens;
    }
    unshared = std::max(0.0, unshared);
    announcePrefix(m_context, shared, unshared, engine->hash);
}

task<void> sendFreeKvHandle(edge_context &context, endpoint_ptr engine, tcp::endpoint address, http_request message)
{
    const exchange_options options{.deadline = bootNow() + freeHandleTimeout, .reuseConnection = false, .keepConnection = false};
    const auto answer = co_await callServer(context.pool, address, std::move(message), options);
    if (answer.ok()) {
        // An engine need not repeat in this answer what it says in those to requests, so the answer ends nothing.
        noteAnswer(context, *engine, answer->base(), instant());
    } else {
        auto line = context.line("handle_not_freed");
        line.add("error", answer.status().ToString());
        context.log.write(line);
    }
}

void stream_session::freeKvHandle(const endpoint_ptr &prefillEngine, const std::string &handle) const
{
    // The handle of an engine that asked for a pause lapses by itself.
    if (const auto address = parseAddress(prefillEngine->entry.address); address.ok() && bootNow() >= prefillEngine->pausedUntil) {
        auto message = m_context.platform.wire.engine.freeKvHandle(handle);
        spawnBackground(m_context.loop, sendFreeKvHandle(m_context, prefillEngine, *address, std::move(message)), "free_kv_handle");
    }
}

task<stream_session::step> stream_session::refuse(std::string_view code, double retryAfterMs)
{
    if (m_mayHaveRun) {
        co_return co_await fail(http::status::bad_gateway, code);
    }
    m_outcome.status = 503;
    m_outcome.reason = m_request.reply->gone() ? "caller_gone" : code;
    co_await m_request.reply->send(makeErrorResponse(m_context, http::status::service_unavailable, code, "the request has not run and will not", retryAfterMs));
    co_return step::Done;
}

// A stream that has begun cannot get an error response. Its connection closes without the end of the stream, so that the caller sees it as
// incomplete.
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
    co_await m_request.reply->send(makeErrorResponse(m_context, status, code, "the request may have run"));
    co_return step::Done;
}

}

admission_outlook stream_session::predict() const
{
    const auto input = makePlacementInput(m_context.endpoints.ofService(m_request.service));
    const auto placement = placeGeneration(input, m_context.settings.engines);
    admission_outlook out;
    for (const auto &engine : input.engines) {
        if (!engine.excluded) {
            out.available = true;
            out.slots += engine.slots;
            out.freePercent += std::max(0, engine.slots - engine.running);
        }
    }
    out.freePercent *= out.slots > 0 ? 100 / out.slots : 0;
    if (placement.decodeIndex >= 0) {
        out.queueMs = std::max(0.0, placement.queueMs);
        out.workMs = std::max(0.0, placement.firstEventMs - out.queueMs);
        out.onTime = placement.verdict == placement_verdict::Run;
        out.runsLate = placement.verdict == placement_verdict::RunLate;
    }
    return out;
}

admission_outlook predictStream(edge_context &context, caller_request &request)
{
    return stream_session(context, request).predict();
}

task<caller_outcome> forwardStream(edge_context &context, caller_request &request)
{
    stream_session session(context, request);
    co_return co_await session.run();
}

}
