#include "serving/call_hedge.h"

#include "transport/boot_clock.h"
#include "transport/spawn.h"

#include <absl/cleanup/cleanup.h>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxAnswerBytes = 64U << 20U; // A larger answer would occupy a quarter of a small machine's memory.

bool isGoodAnswer(const edge_context &context, const client_exchange &exchange, exchange_state state)
{
    if (state != exchange_state::Complete) {
        return false;
    }
    const auto &head = exchange.head();
    const int status = head.result_int();
    return status < 500 && !impliesNotExecuted(status) && !isMarkedNotExecuted(context, head) && isSealed(context, head);
}

task<void> runSecond(edge_context &context, std::shared_ptr<second_call> second, http_request message, std::shared_ptr<client_exchange> first)
{
    const auto wake = absl::MakeCleanup([&second] {
        second->ended = true;
        second->changed.cancel();
    });
    second->state = co_await callEndpoint(context, *second->exchange, second->endpoint, std::move(message), second->body);
    if (!second->dropped && isGoodAnswer(context, *second->exchange, second->state)) {
        second->won = true;
        first->cancel();
    }
}

}

task<exchange_state> callEndpoint(edge_context &context, client_exchange &exchange, endpoint_ptr endpoint, http_request message, std::string &body)
{
    const instant sentAt = bootNow();
    auto state = co_await exchange.begin(message);
    if (hasHead(state)) {
        noteAnswer(context, *endpoint, exchange.head(), sentAt);
    }
    if (state == exchange_state::InProgress) {
        state = co_await exchange.readAll(body, maxAnswerBytes);
        if (state != exchange_state::Complete && state != exchange_state::Cancelled && isMarkedNotExecuted(context, exchange.head())) {
            state = exchange_state::Complete;
        }
    }
    co_return state;
}

hedged_call::hedged_call(edge_context &context,
                         const caller_request &request,
                         endpoint_ptr first,
                         int attempts,
                         std::set<std::string> failed,
                         input_maker makeInput)
    : m_context(context)
    , m_request(request)
    , m_firstEndpoint(std::move(first))
    , m_attempts(attempts)
    , m_failed(std::move(failed))
    , m_makeInput(std::move(makeInput))
    , m_watch(context, request)
{
}

hedged_call::~hedged_call()
{
    if (m_second && !m_second->ended) {
        m_second->dropped = true;
        m_second->exchange->cancel();
    }
}

void hedged_call::watch(std::shared_ptr<client_exchange> first)
{
    m_first = std::move(first);
    m_watch.start(m_firstEndpoint,
                  sizeClass(static_cast<double>(m_request.received->message.body().size())),
                  duration::zero(),
                  {
                      .attempts =
                          [this] {
                              return m_attempts + 1;
                          },
                      .hasFailed =
                          [this](const std::string &id) {
                              return m_failed.contains(id);
                          },
                      .place =
                          [this](const auto &mayTake) {
                              return place(mayTake);
                          },
                      .send =
                          [this](const hedge_choice &choice) {
                              return send(choice);
                          },
                  });
}

std::optional<hedge_choice> hedged_call::place(const std::function<bool(const endpoint_state &)> &mayTake) const
{
    const auto endpoints = m_context.endpoints.ofService(m_request.service);
    auto excluded = m_failed;
    for (const auto &endpoint : endpoints) {
        if (!mayTake(*endpoint)) {
            excluded.insert(endpoint->entry.id);
        }
    }
    const auto placement = placeService(m_makeInput(endpoints, excluded));
    if (placement.endpoint < 0) {
        return std::nullopt;
    }
    return hedge_choice{endpoints[static_cast<std::size_t>(placement.endpoint)], placement.predictedMs};
}

bool hedged_call::send(const hedge_choice &choice)
{
    const auto address = parseAddress(choice.endpoint->entry.address);
    const instant now = bootNow();
    if (m_request.reply->gone() || !address.ok() || !m_context.retryBudget.tryAcquire(m_request.service, m_context.daemons(), now)) {
        return false;
    }
    m_second = std::make_shared<second_call>(m_context.loop, choice.endpoint, now + std::chrono::milliseconds(std::lround(3 * choice.predictedMs)));
    m_second->sentAt = now;
    m_second->exchange = std::make_shared<client_exchange>(m_context.pool, *address, forwardOptions(m_context, m_request, m_request.deadline));
    m_request.reply->onDisconnect([first = m_first, second = m_second->exchange] {
        first->cancel();
        second->cancel();
    });
    auto message = makeForwardedRequest(m_context, m_request, choice.endpoint->entry, now);
    spawnBackground(m_context.loop, runSecond(m_context, m_second, std::move(message), m_first), "hedge_call");
    return true;
}

task<void> hedged_call::settle(exchange_state state)
{
    m_watch.stop();
    const bool good = m_first && isGoodAnswer(m_context, *m_first, state);
    const auto isCallerGone = [&] {
        return state == exchange_state::Cancelled && !(m_second && m_second->won);
    };
    if (m_second && !good && !isCallerGone()) {
        const auto second = m_second; // Named, because the wait refers to it.
        while (!second->ended) {
            boost::system::error_code ignored; // The timer is cancelled.
            co_await second->changed.async_wait(errorTo(ignored));
        }
    } else if (m_second) {
        m_second->dropped = true;
        if (!m_second->ended) {
            m_second->exchange->cancel();
            m_second->state = exchange_state::Cancelled;
        }
    }
    m_secondWon = !good && m_second && m_second->won;
    if (good) {
        m_watch.end(hedge_end::FirstAnswered);
    } else if (m_secondWon) {
        m_watch.end(state == exchange_state::Cancelled ? hedge_end::SecondAnswered : hedge_end::SecondAfterFailure);
    } else if (m_request.reply->gone()) {
        m_watch.end(hedge_end::CallerGone);
    } else {
        m_watch.end(state == exchange_state::TimedOut ? hedge_end::FirstUnanswered : hedge_end::FirstFailed);
    }
}

bool hedged_call::mayGoElsewhere(duration time) const
{
    if (!m_second) {
        return true;
    }
    const bool hadTime = m_second->ended || (m_second->exchange->requestSent() && bootNow() - m_second->sentAt >= time);
    return hadTime && m_attempts + 2 < m_request.route->maxAttempts;
}

void hedged_call::giveUp()
{
    m_watch.stop();
    if (m_second && !m_second->ended) {
        m_second->exchange->setDeadline(bootNow());
    }
}

const std::shared_ptr<second_call> &hedged_call::second() const
{
    return m_second;
}

bool hedged_call::secondWon() const
{
    return m_secondWon;
}

}
