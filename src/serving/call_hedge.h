#pragma once

#include "serving/hedge_watch.h"
#include "serving/placement.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace lacewinglock
{

/// Sends a call and reads its whole answer. The head alone proves that a call was not run, so such an answer counts as complete even if its body is cut.
task<exchange_state> callEndpoint(edge_context &context, client_exchange &exchange, endpoint_ptr endpoint, http_request message, std::string &body);

/// The second attempt of a repeatable call.
struct second_call
{
    second_call(asio::io_context &loop, endpoint_ptr second, instant answerDue)
        : endpoint(std::move(second))
        , reservation(endpoint, 0)
        , answerDeadline(endpoint, answerDue)
        , changed(loop, asio::steady_timer::time_point::max())
    {
    }

    endpoint_ptr endpoint;
    load_reservation reservation;
    answer_deadline answerDeadline;
    instant sentAt;
    std::shared_ptr<client_exchange> exchange;
    exchange_state state = exchange_state::InProgress;
    std::string body;
    bool ended = false;
    bool won = false; ///< It has answered before the first attempt, whose exchange was cancelled.
    bool dropped = false; ///< The first attempt has answered, or the caller has left.
    asio::steady_timer changed; ///< Cancelled when `ended` is set.
};

/// One attempt of a repeatable call and, if the endpoint is slow, a second one beside it. The first good answer ends the other attempt; an error does not.
class hedged_call
{
public:
    using input_maker = std::function<service_input(const std::vector<endpoint_ptr> &endpoints, const std::set<std::string> &failed)>;

    /// `attempts` counts those before this one, `failed` names the endpoints that have failed the call.
    hedged_call(edge_context &context, const caller_request &request, endpoint_ptr first, int attempts, std::set<std::string> failed, input_maker makeInput);
    ~hedged_call();
    hedged_call(const hedged_call &) = delete;
    hedged_call &operator=(const hedged_call &) = delete;

    /// Call when the first attempt is sent.
    void watch(std::shared_ptr<client_exchange> first);
    /// Call when the first attempt has ended with `state`. Waits for the second one unless the first has a good answer.
    task<void> settle(exchange_state state);

    /// Whether the attempts may be given up for another endpoint: always if there is no second one, otherwise if that has ended or has had the call for
    /// `time` too, and another attempt is left.
    bool mayGoElsewhere(duration time) const;
    /// Ends the second attempt by time-out, because the call goes elsewhere, and prevents one.
    void giveUp();
    /// Null if there is none.
    const std::shared_ptr<second_call> &second() const;
    /// Whether the second attempt has given the answer; valid after settle().
    bool secondWon() const;

private:
    std::optional<hedge_choice> place(const std::function<bool(const endpoint_state &)> &mayTake) const;
    bool send(const hedge_choice &choice);

    edge_context &m_context;
    const caller_request &m_request;
    endpoint_ptr m_firstEndpoint;
    std::shared_ptr<client_exchange> m_first;
    std::shared_ptr<second_call> m_second;
    int m_attempts;
    std::set<std::string> m_failed;
    input_maker m_makeInput;
    bool m_secondWon = false;
    hedge_watch m_watch; ///< Last, because its hooks refer to the other members.
};

}
