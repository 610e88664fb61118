#pragma once

#include "coordination/request_session.h"
#include "protocol/control.h"
#include "protocol/endpoint_report.h"
#include "standin/virtual_world.h"

#include <functional>
#include <map>
#include <string>

namespace lacewinglock
{

/// An attempt as an endpoint receives it.
struct virtual_attempt
{
    std::string attemptId;
    std::string requestId;
    std::string daemon;
    std::string prompt;
    std::uint64_t resumeFrom = 0; ///< Index of the first token to send.
    std::uint64_t tokens = 0; ///< Output tokens of the whole request.
    bool poison = false;
    std::string idempotencyKey; ///< Idempotency key of a booking; empty for a completion.
    std::function<void(session_event)> answer;
};

/// An engine or a plain service on the virtual clock.
class virtual_endpoint
{
public:
    struct settings
    {
        std::string id;
        std::string group;
        std::string failureDomain;
        bool reclaimable = false;
        bool checksFencing = true;
    };

    virtual_endpoint(virtual_world &world, settings settings);

    void start(const virtual_attempt &attempt);
    void cancel(const std::string &attemptId);
    /// Returns Accepted or Fenced, or nothing when the endpoint is down.
    std::optional<delivery_outcome> acceptOrder(const endpoint_order &order);
    /// Load report; nothing when the endpoint is down or hangs.
    std::optional<endpoint_report> report() const;

    /// Ends all streams. The endpoint restarts a few seconds later without orders and fencing tokens.
    void crash();
    /// Announces in load reports that the endpoint leaves; it disappears after `untilGone`.
    void giveReclaimNotice(duration untilGone);
    void hang(duration length); ///< Sends nothing for `length`; delayed tokens follow, bookings stay unanswered.
    void sendStrayAnswers(int count); ///< Sends a token with the id and text of another attempt before each of the next `count` tokens.

    const settings &options() const;
    bool up() const;
    int crashes() const;
    endpoint_role role() const;

private:
    struct stream
    {
        virtual_attempt attempt;
        std::uint64_t nextIndex = 0;
    };

    void executeBooking(const virtual_attempt &attempt);
    void emitNextToken(const std::string &attemptId);
    void applyOrder(const endpoint_order &order);
    void failStreams(bool planned);

    virtual_world &m_world;
    settings m_settings;
    std::map<std::string, stream> m_streams;
    bool m_up = true;
    bool m_gone = false;
    std::optional<instant> m_leavingSince;
    instant m_roleChangeUntil;
    instant m_hungUntil;
    int m_strayAnswers = 0;
    int m_crashes = 0;
    endpoint_role m_role = endpoint_role::Mixed;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
};

}
