#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace faultsoak
{

/// Checks that daemons keep to what endpoints say of themselves in their answers: a limit of requests, that they leave, and a pause after a refusal.
/// Not thread-safe. All times are milliseconds of one steady clock.
class endpoint_demands
{
public:
    /// Records that a caller sent a request to a daemon.
    void recordSent(const std::string &id, const std::string &daemon, std::int64_t timeMs);
    /// Records a kill, stop, start or pause of a daemon; it is excused from what it was told before.
    void recordRestart(const std::string &daemon, std::int64_t timeMs);
    /// Records a fault of the link to an endpoint, on which requests may arrive late.
    void recordLinkFault(const std::string &endpoint, std::int64_t timeMs);

    /// Records that an endpoint names another limit from now on; nullopt: none.
    void recordLimit(const std::string &endpoint, std::optional<double> perSecond, std::int64_t timeMs);
    /// Records that the answer to a request named the limit in force.
    void recordToldLimit(const std::string &endpoint, const std::string &id, std::int64_t timeMs);
    /// Records that the answer to a request said that the endpoint leaves.
    void recordToldLeaving(const std::string &endpoint, const std::string &id, std::int64_t timeMs);
    /// Records that the refusal of a request asked for a pause.
    void recordToldPause(const std::string &endpoint, const std::string &id, std::int64_t timeMs, std::int64_t pauseMs);
    /// Records that a request reached an endpoint, and checks it.
    void recordArrival(const std::string &endpoint, const std::string &id, std::int64_t timeMs);

    const std::vector<std::string> &violations() const;
    /// Number of answers by what they said.
    std::string summary() const;

private:
    struct sent_request
    {
        std::string daemon;
        std::int64_t timeMs = 0;
    };
    struct named_limit
    {
        std::map<std::int64_t, double> perSecond; ///< By the time from which it was named.
        std::int64_t sinceMs = 0; ///< When a limit was named first.
        std::map<std::string, std::int64_t> toldMs; ///< By daemon.
        std::deque<std::int64_t> arrivalsMs; ///< From daemons that had been told, within the last window.
    };
    struct pause
    {
        std::int64_t fromMs = 0;
        std::int64_t untilMs = 0;
        int arrivals = 0;
    };
    using endpoint_and_daemon = std::pair<std::string, std::string>;

    /// The request that an answer told something; null if the request is unknown, or if the link was harmed and the answer may be lost.
    const sent_request *findTold(const std::string &endpoint, const std::string &id, std::int64_t timeMs) const;
    bool restartedSince(const std::string &daemon, std::int64_t timeMs) const;
    /// Requests that the limit allows in the window that ends at a time.
    static double allowedUntil(const named_limit &limit, std::int64_t timeMs);
    void checkLimit(const std::string &endpoint, const sent_request &sent, std::int64_t timeMs);
    void checkLeaving(const std::string &endpoint, const std::string &id, const sent_request &sent, std::int64_t timeMs);
    void checkPause(const std::string &endpoint, const sent_request &sent, std::int64_t timeMs);

    std::map<std::string, sent_request> m_sent; ///< By request id.
    std::map<std::string, std::int64_t> m_restartedMs; ///< Last restart or pause by daemon.
    std::map<std::string, std::int64_t> m_linkFaultMs; ///< By endpoint.
    std::map<std::string, named_limit> m_limits; ///< By endpoint.
    std::map<endpoint_and_daemon, std::int64_t> m_toldLeavingMs;
    std::map<endpoint_and_daemon, pause> m_pauses;
    int m_limitAnswers = 0;
    int m_leavingAnswers = 0;
    int m_pauseAnswers = 0;
    std::vector<std::string> m_violations;
};

}
