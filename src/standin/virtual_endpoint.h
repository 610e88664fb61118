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

/// One attempt as it reaches an endpoint.
struct virtual_attempt
{
    std::string attemptId;
    std::string requestId;
    std::string daemon;
    std::string prompt;
    std::uint64_t resumeFrom = 0;
    std::uint64_t tokens = 0;
    bool poison = false;
    std::string idempotencyKey; ///< Of a booking; empty for a completion.
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
    /// Returns how the order was taken, or nothing when the endpoint is down.
    std::optional<delivery> takeOrder(const endpoint_order &order);
    std::optional<endpoint_report> report() const;

    void crash();
    void giveNotice(duration untilGone);
    void hang(duration length); ///< Answers nothing for a while; late answers follow.
    void strayAnswers(int count); ///< The next tokens carry the id of another attempt and a foreign text first.

    const settings &options() const;
    bool up() const;
    int crashes() const;
    endpoint_role role() const;

private:
    struct stream
    {
        virtual_attempt attempt;
        std::uint64_t next = 0;
    };

    void book(const virtual_attempt &attempt);
    void emitNext(const std::string &attemptId);
    void applyOrder(const endpoint_order &order);
    void loseStreams(bool planned);

    virtual_world &m_world;
    settings m_settings;
    std::map<std::string, stream> m_streams;
    bool m_up = true;
    bool m_gone = false;
    std::optional<instant> m_leavingSince;
    instant m_changingUntil;
    instant m_hangsUntil;
    int m_strays = 0;
    int m_crashes = 0;
    endpoint_role m_role = endpoint_role::Mixed;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
};

}
