#pragma once

#include "protocol/configuration.h"
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

/// One endpoint as it lists itself.
struct endpoint_entry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:port.
    std::string failureDomain;
    int slots = 1; ///< Requests that run at once.
    bool draining = false;
    bool reclaimable = false; ///< Cheaper and may be taken back on short notice.
    std::optional<endpoint_role> role; ///< Engines only.
    std::int64_t bornMs = 0; ///< Unix time of its start; another value means another process with nothing in memory.
};

/// Work at an endpoint.
struct endpoint_load
{
    int running = 0; ///< Requests sent and not ended.
    double promptTokens = 0; ///< Prompt tokens sent and not yet read.
};

/// What one attempt showed about its endpoint.
enum class attempt_result {
    Good,
    Failed, ///< The endpoint answered with an error of its own, or with bytes that are no answer.
    Broken, ///< The connection ended early.
    Silent, ///< No answer in time.
    Unreachable, ///< No connection.
    Rejected, ///< Full: not run.
};

/// An endpoint with all that this daemon knows of it.
struct endpoint_state
{
    endpoint_entry entry;
    std::uint64_t hash = 0; ///< Of id and birth; names the endpoint in messages between daemons.
    endpoint_load own; ///< Of this daemon.
    endpoint_load peers; ///< Of the other daemons, by their last messages.
    int unreachableInRow = 0;
    instant downUntil; ///< No sending before; only while others are up.
    double failureShare = 0; ///< Moving average over attempts that were sent.
    double slowness = 1; ///< Measured time against the model's, moving average.
    std::multiset<instant> unanswered; ///< When each own request without a first answer should have had one.
    instant reservedUntil; ///< A change of its role is under way; it gets no new work.
    bool missing = false; ///< Its entry lapsed while the store was failing.
    instant missingSince;

    bool usable(instant now) const;
    /// How long the oldest answer is overdue, in whole milliseconds.
    double overdueMs(instant now) const;
};

using endpoint_ptr = std::shared_ptr<endpoint_state>;

/// Endpoints by id, as the store lists them, with the loads and outcomes that this daemon saw. For one event loop.
class endpoint_registry
{
public:
    /// Adds or changes an endpoint. An entry with another birth is another process: its load, memory and outcomes start anew.
    void update(endpoint_entry entry);
    /// The endpoint has left: it gets no new work from now on.
    void remove(std::string_view id);
    /// The entry lapsed while the store was failing: the endpoint still works, and is removed at expireMissing unless it is listed again.
    void noteMissing(std::string_view id, instant now);
    /// Removes endpoints that have been missing for `grace` or longer.
    void expireMissing(instant now, duration grace);
    /// Marks all endpoints that are not in `listed` as left or missing.
    void keepOnly(const std::vector<std::string> &listed, bool storeWasFailing, instant now);

    std::vector<endpoint_ptr> ofService(std::string_view service) const;
    endpoint_ptr find(std::string_view id) const;
    endpoint_ptr findByHash(std::uint64_t hash) const;
    std::vector<endpoint_ptr> all() const;

    void noteResult(endpoint_state &endpoint, attempt_result result, instant now);

    /// Replaces what one peer reported of its own load.
    void setPeerLoad(std::string_view peer, std::vector<std::pair<std::uint64_t, endpoint_load>> loads);
    void dropPeer(std::string_view peer);

private:
    void addPeerLoad(const std::vector<std::pair<std::uint64_t, endpoint_load>> &loads, int sign);
    void erase(std::map<std::string, endpoint_ptr, std::less<>>::iterator found);

    std::map<std::string, endpoint_ptr, std::less<>> m_byId;
    std::unordered_map<std::uint64_t, endpoint_ptr> m_byHash;
    std::map<std::string, std::vector<std::pair<std::uint64_t, endpoint_load>>, std::less<>> m_peerLoads;
};

/// Counts a request at an endpoint from its sending to its end.
class load_claim
{
public:
    load_claim() = default;
    load_claim(endpoint_ptr endpoint, double promptTokens);
    ~load_claim();
    load_claim(load_claim &&other) noexcept;
    load_claim &operator=(load_claim &&other) noexcept;
    load_claim(const load_claim &) = delete;
    load_claim &operator=(const load_claim &) = delete;

    /// The endpoint has read the prompt.
    void promptRead();
    void release();

private:
    endpoint_ptr m_endpoint;
    double m_promptTokens = 0;
};

/// Registers an answer that is due, so that a silent endpoint shows before its requests time out.
class due_answer
{
public:
    due_answer(endpoint_ptr endpoint, instant due)
        : m_endpoint(std::move(endpoint))
        , m_place(m_endpoint->unanswered.insert(due))
    {
    }
    ~due_answer()
    {
        m_endpoint->unanswered.erase(m_place);
    }
    due_answer(const due_answer &) = delete;
    due_answer &operator=(const due_answer &) = delete;

private:
    endpoint_ptr m_endpoint;
    std::multiset<instant>::iterator m_place;
};

}
