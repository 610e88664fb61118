#include "standin/virtual_endpoint.h"

#include "protocol/engine_text.h"

#include <algorithm>
#include <utility>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr duration shortestToken = 30ms;
constexpr duration longestToken = 90ms;
constexpr auto bookingTime = 40ms;
constexpr auto restartTime = 4s;
constexpr auto roleChangeTime = 3s;

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
    if (m_world.clock.now() < m_changingUntil) {
        attempt.answer(attempt_failed_event{.attemptId = attempt.attemptId, .failure = attempt_failure::Refused, .detail = "changing role"});
        return;
    }
    m_world.observer.noteWork(attempt.requestId, m_settings.id, m_leavingSince);
    if (!attempt.idempotencyKey.empty()) {
        book(attempt);
        return;
    }
    m_streams[attempt.attemptId] = {.attempt = attempt, .next = attempt.resumeFrom};
    if (attempt.poison) {
        m_world.clock.after(shortestToken, m_settings.id + " meets a poison request", [this] {
            crash();
        });
        return;
    }
    emitNext(attempt.attemptId);
}

void virtual_endpoint::book(const virtual_attempt &attempt)
{
    m_world.observer.noteBooking(attempt.idempotencyKey);
    m_world.clock.note(m_settings.id + " executes " + attempt.idempotencyKey + " for " + attempt.daemon);
    m_streams[attempt.attemptId] = {.attempt = attempt};
    m_world.clock.after(bookingTime, m_settings.id + " answers booking", [this, id = attempt.attemptId] {
        if (const auto found = m_streams.find(id); found != m_streams.end() && m_world.clock.now() >= m_hangsUntil) {
            const auto answer = found->second.attempt.answer;
            m_streams.erase(found);
            answer(service_answer_event{.attemptId = id, .answer = {.status = 201, .contentType = "text/plain", .body = "booked"}});
        }
    });
}

void virtual_endpoint::emitNext(const std::string &attemptId)
{
    const duration wait = std::max(m_world.clock.between(shortestToken, longestToken), m_hangsUntil - m_world.clock.now());
    m_world.clock.after(wait, m_settings.id + " token", [this, attemptId] {
        const auto found = m_streams.find(attemptId);
        if (found == m_streams.end()) {
            return;
        }
        auto &running = found->second;
        const auto answer = running.attempt.answer;
        if (m_strays > 0) {
            --m_strays;
            m_world.clock.note(m_settings.id + " sends a foreign token to " + attemptId);
            answer(token_event{.attemptId = "foreign", .index = running.next, .text = "foreign"});
        }
        if (running.next < running.attempt.tokens) {
            const std::uint64_t index = running.next++;
            answer(token_event{.attemptId = attemptId, .index = index, .text = engineToken(running.attempt.prompt, index)});
            emitNext(attemptId);
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

std::optional<delivery> virtual_endpoint::takeOrder(const endpoint_order &order)
{
    if (!m_up) {
        return std::nullopt;
    }
    const bool stale = order.epoch < m_epoch || order.revision < m_revision;
    if (m_settings.checksFencing && stale && m_world.broken != broken_mechanism::EngineFencing) {
        m_world.clock.note(m_settings.id + " refuses revision " + std::to_string(order.revision) + " of epoch " + std::to_string(order.epoch));
        return delivery::Fenced;
    }
    m_world.observer.noteOrderTaken(order, m_settings.checksFencing);
    m_world.clock.note(m_settings.id + " takes revision " + std::to_string(order.revision) + " of epoch " + std::to_string(order.epoch));
    m_epoch = order.epoch;
    if (order.revision != m_revision) {
        applyOrder(order);
    }
    return delivery::Accepted;
}

void virtual_endpoint::applyOrder(const endpoint_order &order)
{
    m_revision = order.revision;
    m_role = order.role;
    m_changingUntil = m_world.clock.now() + roleChangeTime;
    loseStreams(true);
}

void virtual_endpoint::loseStreams(bool planned)
{
    for (auto &[id, lost] : std::exchange(m_streams, {})) {
        if (planned) {
            m_world.observer.noteCutByOrder(lost.attempt.requestId);
            m_world.clock.note(m_settings.id + " cuts " + id + " for an order");
        } else {
            m_world.observer.noteLostByFault(lost.attempt.requestId);
        }
        lost.attempt.answer(attempt_failed_event{.attemptId = id, .failure = attempt_failure::ConnectionLost, .detail = "connection reset"});
    }
}

std::optional<endpoint_report> virtual_endpoint::report() const
{
    const instant now = m_world.clock.now();
    if (!m_up || now < m_hangsUntil) {
        return std::nullopt;
    }
    return endpoint_report{
        .endpoint = m_settings.id,
        .leaving = m_leavingSince.has_value() && m_world.broken != broken_mechanism::LeavingNotice,
        .role = m_role,
        .changingRole = now < m_changingUntil,
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
    m_world.clock.note(m_settings.id + " crashes with " + std::to_string(m_streams.size()) + " streams");
    loseStreams(false);
    // A restarted engine remembers neither orders nor fencing tokens.
    m_world.clock.after(restartTime, m_settings.id + " restarts", [this] {
        m_up = !m_gone;
        m_changingUntil = {};
        m_revision = 0;
        m_epoch = 0;
        m_role = endpoint_role::Mixed;
    });
}

void virtual_endpoint::giveNotice(duration untilGone)
{
    if (m_leavingSince || !m_up) {
        return;
    }
    m_leavingSince = m_world.clock.now();
    m_world.clock.note(m_settings.id + " is given notice");
    m_world.clock.after(untilGone, m_settings.id + " is gone", [this] {
        m_gone = true;
        m_up = false;
        m_world.clock.note(m_settings.id + " is gone with " + std::to_string(m_streams.size()) + " streams");
        loseStreams(false);
    });
}

void virtual_endpoint::hang(duration length)
{
    m_hangsUntil = m_world.clock.now() + length;
}

void virtual_endpoint::strayAnswers(int count)
{
    m_strays += count;
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
