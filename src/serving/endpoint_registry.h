#pragma once

#include "protocol/configuration.h"
#include "protocol/exchange_messages.h"
#include "serving/endpoint_ejection.h"
#include "serving/endpoint_pace.h"
#include "transport/core_time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// One endpoint, as it describes itself in its store entry.
struct endpoint_entry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:port.
    std::string failureDomain;
    int slots = 1; ///< Maximum number of concurrent requests.
    bool draining = false;
    bool reclaimable = false; ///< Cheaper, but the platform may reclaim it on short notice.
    std::optional<endpoint_role> role; ///< Engines only.
    std::int64_t startedMs = 0; ///< Unix time of the process start. A new value means a new process with an empty cache.
};

/// Outcome of one attempt, as far as it concerns the endpoint.
enum class attempt_result {
    Succeeded,
    Failed, ///< The endpoint answered with a server error or a malformed response.
    ConnectionLost, ///< The connection closed before the response was complete.
    NoAnswer, ///< Timed out.
    Unreachable, ///< The connection could not be opened.
    Rejected, ///< The endpoint is full and did not run the request.
};

/// An endpoint with the load and the outcomes that this daemon has recorded for it.
struct endpoint_state
{
    endpoint_entry entry;
    std::uint64_t hash = 0; ///< Hash of the id and the start time; identifies the endpoint in messages between daemons.
    endpoint_load own; ///< Load sent by this daemon.
    endpoint_load peers; ///< Load sent by the other daemons, as known from the state exchange.
    int consecutiveUnreachable = 0;
    instant downUntil; ///< End of the backoff after a failed connection. No request is sent before.
    double failureRate = 0; ///< Moving average over the attempts that reached the endpoint and were not rejected.
    double slowdown = 1; ///< Ratio of measured to predicted prefill time, moving average.
    std::multiset<instant> answerDeadlines; ///< When the first response of each outstanding request of this daemon is due.
    instant reservedUntil; ///< A role change is in progress; no new requests are sent before this time.
    std::optional<double> limit; ///< Requests per second that it takes from all daemons together, if it names a limit; rounded by roundLimit().
    instant limitSaidAt; ///< When it last said `limit`, or that it has none.
    instant turnTakenAt; ///< Last slot of the limit that a request has taken; may lie ahead while the request waits.
    instant turnUsedAt; ///< Last slot in which a request was sent.
    instant pausedUntil; ///< It has refused a request and asked for none before this time.
    bool saysLeaving = false; ///< It has said in an answer that it leaves.
    instant noticeChangedAt; ///< Last change of `limit` or `saysLeaving`.
    bool missing = false; ///< Its entry expired while the store was failing.
    instant missingSince;
    ejection_state ejection;
    instant ejectionDecidedAt; ///< When ejections at its service were last decided, if it is the first of them.
    endpoint_pace pace;

    /// Whether new requests may be sent: not draining, not in backoff and not reserved for a role change.
    bool usable(instant now) const;
    /// How long the oldest outstanding response is overdue, in whole milliseconds; 0 if none is.
    double overdueMs(instant now) const;
};

using endpoint_ptr = std::shared_ptr<endpoint_state>;

/// The endpoints that the store lists, with their load and outcomes as seen by this daemon. Not thread-safe: used from one event loop.
class endpoint_registry
{
public:
    /// Adds or updates an endpoint. An entry with a newer start time is a new process: its load, hash and outcomes are reset. An older one is ignored.
    void update(endpoint_entry entry);
    /// Like update(), with an entry of an older copy of the store. If its process has been removed, it is added only when it is still listed after
    /// copiedEntryTime: the entry of a process that has ended lapses before.
    void updateFromCopy(endpoint_entry entry, instant now);
    /// Removes an endpoint that has left; it gets no new requests. Requests in progress keep its state alive.
    void remove(std::string_view id, instant now);
    /// Records that the process with this hash has said that it leaves. It counts as draining from then on, whatever the store lists.
    void noteLeaving(std::uint64_t hash, instant now);
    /// Records that an entry expired while the store was failing. The endpoint stays in use until expireMissing() removes it, unless it is listed again.
    void noteMissing(std::string_view id, instant now);
    /// Removes the endpoints that have been missing for `grace` or longer, forgets processes that have left long ago, and adds the entries of an older
    /// copy that are still listed.
    void expireMissing(instant now, duration grace);
    /// Removes all endpoints that are not in `listed`, or marks them as missing if the store was failing.
    void reconcile(const std::vector<std::string> &listed, bool storeWasFailing, instant now);

    std::vector<endpoint_ptr> ofService(std::string_view service) const;
    endpoint_ptr find(std::string_view id) const;
    endpoint_ptr findByHash(std::uint64_t hash) const;
    std::vector<endpoint_ptr> all() const;

    /// Updates the failure rate, the counts for ejection and the connection backoff after an attempt.
    void noteResult(endpoint_state &endpoint, attempt_result result, instant now);

    /// Replaces the load that the other daemons have at an endpoint. That of an endpoint not listed yet is used once it is listed.
    void setPeerLoad(const load_entry &entry);
    /// Removes the loads of the other daemons.
    void clearPeerLoads();

    /// Records the pace that an endpoint has reported. Returns whether the pace of its service has become uneven.
    bool notePace(endpoint_state &endpoint, double figure, instant now);
    /// Whether some endpoint of the service has lately reported a pace other than the usual one. Restarts of endpoints don't end this.
    bool hasUnevenPace(std::string_view service, instant now) const;
    /// What is known about the pace of a service; created when it does not exist.
    service_pace &servicePace(std::string_view service);

private:
    struct copied_entry
    {
        endpoint_entry entry;
        instant since;
    };

    void erase(std::map<std::string, endpoint_ptr, std::less<>>::iterator found, instant now);
    void forgetCopy(std::string_view id);

    std::map<std::string, endpoint_ptr, std::less<>> m_byId;
    std::unordered_map<std::uint64_t, endpoint_ptr> m_byHash;
    std::unordered_map<std::uint64_t, instant> m_leaving; ///< Hashes of the processes that have said that they leave, and when.
    std::unordered_map<std::uint64_t, instant> m_removed; ///< Hashes of the processes that were removed, and when.
    std::map<std::string, copied_entry, std::less<>> m_copied; ///< Entries of removed processes that an older copy of the store lists, by id.
    std::unordered_map<std::uint64_t, endpoint_load> m_peerLoads; ///< Sums over the other daemons, also for endpoints that are not listed.
    std::map<std::string, service_pace, std::less<>> m_servicePaces; ///< By service, whether or not an endpoint is listed.
};

/// Counts a request in the load of an endpoint from its dispatch until it ends.
class load_reservation
{
public:
    load_reservation() = default;
    load_reservation(endpoint_ptr endpoint, double promptTokens);
    ~load_reservation();
    load_reservation(load_reservation &&other) noexcept;
    load_reservation &operator=(load_reservation &&other) noexcept;
    load_reservation(const load_reservation &) = delete;
    load_reservation &operator=(const load_reservation &) = delete;

    /// Removes the prompt tokens from the load, because the prefill has ended. The request still counts as running.
    void prefillDone();
    /// Removes the request from the load.
    void release();

private:
    endpoint_ptr m_endpoint;
    double m_promptTokens = 0;
};

/// Registers when a response is due, so that an unresponsive endpoint is noticed before its requests time out.
class answer_deadline
{
public:
    answer_deadline(endpoint_ptr endpoint, instant due)
        : m_endpoint(std::move(endpoint))
        , m_position(m_endpoint->answerDeadlines.insert(due))
    {
    }
    ~answer_deadline()
    {
        m_endpoint->answerDeadlines.erase(m_position);
    }
    answer_deadline(const answer_deadline &) = delete;
    answer_deadline &operator=(const answer_deadline &) = delete;

private:
    endpoint_ptr m_endpoint;
    std::multiset<instant>::iterator m_position;
};

}
