#pragma once

#include "serving/endpoint_registry.h"

#include <optional>
#include <vector>

/// What endpoints say of themselves in answers, to this daemon and to others. A statement is compared with the time of the last one, because answers can
/// overtake each other.
namespace lacewinglock
{

/// What an endpoint says of itself in the head of an answer.
struct endpoint_notice
{
    bool leaving = false; ///< It will end and wants no new requests.
    std::optional<double> limit; ///< Requests per second that it takes from all daemons together, for as long as its answers say so.
    std::optional<duration> pause; ///< Sent with a refusal: for how long it wants no requests from this daemon.
    std::optional<load_figures> load; ///< Its load and pace at the moment.

    bool operator==(const endpoint_notice &) const = default;
};

/// Records a notice from the answer to a request that was sent at `sentAt` and answered at `now`. Returns whether the limit or the leaving has changed.
bool applyNotice(endpoint_registry &endpoints, endpoint_state &endpoint, const endpoint_notice &notice, instant sentAt, instant now);

/// Takes over what another daemon has heard, unless something newer is known. Returns whether the limit or the leaving has changed.
bool applyReport(endpoint_registry &endpoints, const notice_report &report, instant now);

/// Selects what to report to other daemons: at most `count` endpoints, those that have changed lately first, one of the others in turn. `next` keeps the
/// turn between calls.
std::vector<notice_report> selectReports(const endpoint_registry &endpoints, std::size_t count, std::size_t &next, instant now);

}
