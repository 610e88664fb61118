#include "standin/virtual_endpoint.h"

#include "protocol/engine_text.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr duration minTokenInterval = 30ms;
constexpr duration maxTokenInterval = 90ms;
constexpr auto bookingDuration = 40ms;
constexpr auto restartDuration = 4s;
constexpr auto roleChangeDuration = 3s;

}

virtual_endpoint::virtual_endpoint(virtual_world &world, settings settings)
    : m_world(world)
    , m_settings(std::move(settings))
{
}

void virtual_endpoint::start(const virtual_attempt &attempt)
{
    if (!m_up) {
        attempt.answer(attempt_failed_event{.attemptId = attempt.attemptId, .failure = attempt_failure::NotSent, .detail = "connection refused"});
        return;
    }
    if (m_world.clock.now() < m_roleChangeUntil) {
        attempt.answer(attempt_failed_event{.attemptId = attempt.attemptId, .failure = attempt_failure::Refused, .detail = "changing role"});
        return;
    }
    m_world.observer.recordRequestStart(attempt.requestId, m_settings.id, m_leavingSince);
    if (!attempt.idempotencyKey.empty()) {
        executeBooking(attempt);
        return;
    }
    m_streams[attempt.attemptId] = {.attempt = attempt, .nextIndex = attempt.resumeFrom};
    if (attempt.poison) {
        m_world.clock.after(minTokenInterval, m_settings.id + " meets a poison request", [this] {
            crash();
        });
        return;
    }
    emitNextToken(attempt.attemptId);
}

void virtual_endpoint::executeBooking(const virtual_attempt &attempt)
{
    m_world.observer.recordBookingExecution(attempt.idempotencyKey);
    m_world.clock.record(m_settings.id + " executes " + attempt.idempotencyKey + " for " + attempt.daemon);
    m_streams[attempt.attemptId] = {.attempt = attempt};
    m_world.clock.after(bookingDuration, m_settings.id + " answers booking", [this, id = attempt.attemptId] {
        if (const auto found = m_streams.find(id); found != m_streams.end() && m_world.clock.now() >= m_hungUntil) {
            const auto answer = found->second.attempt.answer;
            m_streams.erase(found);
            answer(service_answer_event{.attemptId = id, .answer = {.status = 201, .contentType = "text/plain", .body = "booked"}});
        }
    });
}

void virtual_endpoint::emitNextToken(const std::string &attemptId)
{
    const duration wait = std::max(m_world.clock.randomBetween(minTokenInterval, maxTokenInterval), m_hungUntil - m_world.clock.now());
    m_world.clock.after(wait, m_settings.id + " token", [this, attemptId] {
        const auto found = m_streams.find(attemptId);
        if (found == m_streams.end()) {
            return;
        }
        auto &running = found->second;
        const auto answer = running.attempt.answer;
        if (m_strayAnswers > 0) {
            --m_strayAnswers;
            m_world.clock.record(m_settings.id + " sends a foreign token to " + attemptId);
            answer(token_event{.attemptId = "foreign", .index = running.nextIndex, .text = "foreign"});
        }
        if (running.nextIndex < running.attempt.tokens) {
            const std::uint64_t index = running.nextIndex++;
            answer(token_event{.attemptId = attemptId, .index = index, .text = engineToken(running.attempt.prompt, index)});
            emitNextToken(attemptId);
            return;
        }
        const std::uint64_t tokens = running.attempt.tokens;
        m_streams.erase(found);
        answer(stream_finished_event{.attemptId = attemptId, .finishReason = "stop", .promptTokens = 10, .completionTokens = tokens});
    });
}

void virtual_endpoint::cancel(const std::string &attemptId)
{
    m_streams.erase(attemptId);
}

std::optional<delivery_outcome> virtual_endpoint::acceptOrder(const endpoint_order &order)
{
    if (!m_up) {
        return std::nullopt;
    }
    const bool stale = order.epoch < m_epoch || order.revision < m_revision;
    if (m_settings.checksFencing && stale && m_world.broken != broken_mechanism::EngineFencing) {
        m_world.clock.record(m_settings.id + " refuses revision " + std::to_string(order.revision) + " of epoch " + std::to_string(order.epoch));
        return delivery_outcome::Fenced;
    }
    m_world.observer.recordAcceptedOrder(order, m_settings.checksFencing);
    m_world.clock.record(m_settings.id + " takes revision " + std::to_string(order.revision) + " of epoch " + std::to_string(order.epoch));
    m_epoch = order.epoch;
    if (order.revision != m_revision) {
        applyOrder(order);
    }
    return delivery_outcome::Accepted;
}

void virtual_endpoint::applyOrder(const endpoint_order &order)
{
    m_revision = order.revision;
    m_role = order.role;
    m_roleChangeUntil = m_world.clock.now() + roleChangeDuration;
    failStreams(true);
}

void virtual_endpoint::failStreams(bool planned)
{
    for (auto &[id, lost] : std::exchange(m_streams, {})) {
        if (planned) {
            m_world.observer.reportStreamCutByOrder(lost.attempt.requestId, m_settings.id);
            m_world.clock.record(m_settings.id + " cuts " + id + " for an order");
        }
        lost.attempt.answer(attempt_failed_event{.attemptId = id, .failure = attempt_failure::ConnectionLost, .detail = "connection reset"});
    }
}

std::optional<endpoint_report> virtual_endpoint::report() const
{
    const instant now = m_world.clock.now();
    if (!m_up || now < m_hungUntil) {
        return std::nullopt;
    }
    return endpoint_report{
        .endpoint = m_settings.id,
        .leaving = m_leavingSince.has_value() && m_world.broken != broken_mechanism::LeavingNotice,
        .role = m_role,
        .changingRole = now < m_roleChangeUntil,
        .orderRevision = m_revision,
        .orderEpoch = m_epoch,
        .runningStreams = m_world.broken == broken_mechanism::DrainCheck ? 0 : static_cast<int>(m_streams.size()),
        .freeKvTokens = 100000,
    };
}

void virtual_endpoint::crash()
{
    if (!m_up) {
        return;
    }
    ++m_crashes;
    m_up = false;
    m_world.clock.record(m_settings.id + " crashes with " + std::to_string(m_streams.size()) + " streams");
    failStreams(false);
    // Engines keep orders and fencing tokens in memory only, so a restart loses them.
    m_world.clock.after(restartDuration, m_settings.id + " restarts", [this] {
        m_up = !m_gone;
        m_roleChangeUntil = {};
        m_revision = 0;
        m_epoch = 0;
        m_role = endpoint_role::Mixed;
    });
}

void virtual_endpoint::giveReclaimNotice(duration untilGone)
{
    if (m_leavingSince || !m_up) {
        return;
    }
    m_leavingSince = m_world.clock.now();
    m_world.clock.record(m_settings.id + " is given notice");
    m_world.clock.after(untilGone, m_settings.id + " is gone", [this] {
        m_gone = true;
        m_up = false;
        m_world.clock.record(m_settings.id + " is gone with " + std::to_string(m_streams.size()) + " streams");
        failStreams(false);
    });
}

void virtual_endpoint::hang(duration length)
{
    m_hungUntil = m_world.clock.now() + length;
}

void virtual_endpoint::sendStrayAnswers(int count)
{
    m_strayAnswers += count;
}

const virtual_endpoint::settings &virtual_endpoint::options() const
{
    return m_settings;
}

bool virtual_endpoint::up() const
{
    return m_up;
}

int virtual_endpoint::crashes() const
{
    return m_crashes;
}

endpoint_role virtual_endpoint::role() const
{
    return m_role;
}

}
