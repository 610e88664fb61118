#pragma once

#include "serving/caller_exchange.h"
#include "serving/hedge.h"
#include "transport/timeout.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// An endpoint that placement has chosen for a second attempt.
struct hedge_choice
{
    endpoint_ptr endpoint;
    double predictedMs = 0; ///< Time to its answer, or to its first event.
};

/// How the first attempt of a request has ended.
enum class hedge_end {
    FirstAnswered,
    SecondAnswered,
    FirstUnanswered, ///< It was given up without an answer.
    FirstFailed,
    SecondAfterFailure, ///< The first attempt had failed before the second one answered.
    CallerGone
};

/// The parts of hedging that differ between calls and streams.
struct hedge_hooks
{
    /// Number of endpoints that have had the request, including the first one.
    std::function<int()> attempts;
    /// Whether the endpoint has failed the request.
    std::function<bool(const std::string &id)> hasFailed;
    /// Chooses among the endpoints for which `mayTake` is true; nullopt if there is none.
    std::function<std::optional<hedge_choice>(const std::function<bool(const endpoint_state &)> &mayTake)> place;
    /// Sends the request to the endpoint, for which it takes an attempt from the retry budget. Returns false if it was not sent.
    std::function<bool(const hedge_choice &choice)> send;
};

/// Decides when one attempt of a request gets a second endpoint: waits for the quantile, gathers the input of decideHedge(), and logs and counts the result.
/// Does nothing while hedging is off.
class hedge_watch
{
public:
    hedge_watch(edge_context &context, const caller_request &request);

    /// Call when the request is sent to its first endpoint. `maxOverlap` limits how long two endpoints may work on it; zero: until the end.
    void start(endpoint_ptr first, int sizeClass, duration maxOverlap, hedge_hooks hooks);
    /// Sends no second attempt from now on.
    void stop();
    /// Call when the attempt has ended. Calls after the first one have no effect.
    void end(hedge_end result);

private:
    void checkAfter(duration time);
    void check();
    hedge_input makeInput() const;
    hedge_candidate makeCandidate(const endpoint_state &endpoint, double predictedMs) const;
    int slotsOf(const endpoint_state &endpoint) const;
    void addCandidates(hedge_input &input, std::vector<hedge_choice> &choices) const;
    double waitedMs() const;

    edge_context &m_context;
    const caller_request &m_request;
    timeout m_timer;
    hedge_hooks m_hooks;
    endpoint_ptr m_first; ///< Null before start() and after end().
    std::string m_second; ///< Empty if no second attempt was sent.
    int m_sizeClass = 0;
    duration m_maxOverlap{};
    instant m_sentAt;
    double m_quantileMs = -1;
};

}
