#pragma once

#include "transport/core_time.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Whether an endpoint gets requests, as far as its outcomes say.
enum class ejection_phase {
    Serving,
    Ejected, ///< No requests until the ejection time is over.
    Trial ///< The ejection time is over; a few requests decide whether it serves again.
};

/// Recent attempts at an endpoint, decayed.
struct attempt_counts
{
    double attempts = 0; ///< Those that reached the endpoint and were not refused by it.
    double losses = 0; ///< Of these: connections lost and answers that did not come in time.
    double errors = 0; ///< Of these: error answers.

    bool operator==(const attempt_counts &) const = default;
};

/// Outcomes of this daemon's attempts at one endpoint, and its ejection.
class ejection_state
{
public:
    void noteAnswer(instant now);
    /// The endpoint answered with an error.
    void noteError(instant now);
    /// The connection was lost, or no answer came in time.
    void noteLoss(instant now);
    /// The endpoint refused the request without running it.
    void noteRefusal(instant now);
    /// The endpoint has begun to answer, so that another trial may start. The rest of the answer decides.
    void noteAnswering(instant now);
    /// A request is sent. Returns whether it is a trial.
    bool noteSent(instant now);

    void eject(duration time, instant now);
    void restore(instant now);

    ejection_phase phase(instant now) const;
    /// Whether an endpoint on trial may get a request now. A request that can't be sent elsewhere is used only if no other came for a while.
    bool takesTrial(bool mayRepeat, instant now) const;
    instant ejectedUntil() const;
    attempt_counts counts(instant now) const;
    /// Part of the recent attempts that were lost. Few attempts say little, so their part is smaller.
    double lossRate(instant now) const;
    int lossesInRow() const;
    int errorsInRow() const;
    /// Whether the last attempt was answered, and that lately: this outweighs what other daemons report.
    bool answeredLately(instant now) const;
    /// Whether a loss is so recent that the other daemons should know of it.
    bool lostLately(instant now) const;
    /// Ejections that lengthen the next one. Falls while the endpoint serves.
    int level(instant now) const;
    int trialAnswers() const;
    int trialErrors() const;
    int trialLosses() const;
    /// Whether there is an outcome that may change the decision; the next call returns false.
    bool takeChange();

private:
    void count(double loss, double error, instant now);

    attempt_counts m_counts; ///< As of m_countedAt.
    instant m_countedAt;
    int m_lossesInRow = 0;
    int m_errorsInRow = 0;
    instant m_answeredAt;
    instant m_lostAt;
    bool m_ejected = false;
    bool m_changed = false;
    instant m_until;
    instant m_nextTrialAt;
    instant m_restoredAt;
    int m_level = 0;
    int m_trialAnswers = 0;
    int m_trialErrors = 0;
    int m_trialLosses = 0;
};

/// One endpoint as input of decideEjections(). The counts are multiples of 0.01, so that the log line holds exactly what the decision used.
struct ejection_candidate
{
    std::string id;
    bool prefills = false; ///< A prefill engine. The bound on ejections holds for these and for the other endpoints each.
    bool available = false; ///< Could get requests if it is not ejected: not leaving, unreachable or reserved.
    ejection_phase phase = ejection_phase::Serving;
    attempt_counts own;
    int lossesInRow = 0;
    int errorsInRow = 0;
    double othersAttempts = 0; ///< Reported by other daemons that lost attempts.
    double othersLosses = 0;
    bool answeredLately = false;
    int level = 0;
    int trialAnswers = 0;
    int trialErrors = 0;
    int trialLosses = 0;

    bool operator==(const ejection_candidate &) const = default;
};

/// Endpoints of one service, as this daemon sees them.
struct ejection_input
{
    std::string service;
    std::vector<ejection_candidate> endpoints;

    bool operator==(const ejection_input &) const = default;
};

/// A change of one endpoint.
struct ejection_change
{
    int endpoint = -1; ///< Index into ejection_input::endpoints.
    bool ejects = false; ///< Ejected for `forMs`; otherwise it serves again.
    double forMs = 0;
    std::string_view reason;

    bool operator==(const ejection_change &) const = default;
};

/// Decides which endpoints of a service get no requests for a while, and which serve again.
///
/// Designed for endpoints that fail at once and so look like the fastest ones, under load of which each daemon sees between all and a hundredth. An
/// endpoint is ejected if it fails so much more often than the better half of the others that chance does not explain it. Losses and error answers are
/// compared separately: plain services answer many reads with an error, at every endpoint alike. At most half of the endpoints are ejected.
std::vector<ejection_change> decideEjections(const ejection_input &input);

/// What decides whether an endpoint is passed over now.
struct ejection_seat
{
    bool prefills = false;
    bool available = false;
    ejection_phase phase = ejection_phase::Serving;
    bool takesTrial = false; ///< May get the request as a trial.
    instant until; ///< End of the ejection.
};

/// Returns for each endpoint whether the request must not be sent to it. Where endpoints have become unavailable since others were ejected, those whose
/// ejection ends first are used, so that at least half of the available ones remain.
std::vector<bool> passedOver(const std::vector<ejection_seat> &seats);

}
