#pragma once

#include "coordination/config_editor.h"
#include "protocol/invariant.h"
#include "standin/virtual_daemon.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Size of a cell and seed of its run.
struct cell_options
{
    std::uint64_t seed = 1;
    int daemons = 9;
    int domains = 3;
    int engines = 6;
    int reclaimable = 3; ///< Number of reclaimable engines; these are the last ones.
    int services = 2;
    int keys = 4;
    broken_mechanism broken = broken_mechanism::None;
};

/// A violated invariant.
struct violation
{
    invariant which = invariant::NoConflictingOrders;
    std::string detail;
    instant at; ///< Virtual time.
    std::vector<std::string> trace; ///< Most recent trace lines before the violation.
};

/// Counters of a run.
struct cell_totals
{
    int calls = 0; ///< Requests sent, without retries.
    std::map<std::string, int> outcomes; ///< Sends, retries included, by outcome.
    std::map<std::string, int> codes; ///< Unsuccessful sends by error code.
    std::map<std::string, int> edits; ///< Configuration patches by outcome.
};

/// A cell of daemons on virtual time with callers, operators and faults. While it exists, it is the process's invariant handler and collects
/// violations. The constructor throws std::runtime_error when the initial configuration cannot be stored.
/// Daemons are named d1, d2, ..., domains z1, ..., engines e1, ..., services s1, ..., keys k1, ... .
class virtual_cell
{
public:
    explicit virtual_cell(const cell_options &options);
    ~virtual_cell();
    virtual_cell(const virtual_cell &) = delete;
    virtual_cell &operator=(const virtual_cell &) = delete;

    void runFor(duration length);
    virtual_world &world();
    virtual_platform &platform();
    virtual_daemon &daemon(const std::string &id);
    virtual_endpoint &endpoint(const std::string &id);
    std::vector<std::string> daemonIds() const;
    std::vector<std::string> engineIds() const;

    /// Parameters of a request. A request that does not finish is retried through random live daemons up to `retries` times.
    struct call_options
    {
        std::string daemon; ///< Daemon of the first send; empty selects a random live daemon.
        std::string key = "k1";
        std::string booking; ///< Idempotency key of a service call; empty for a completion.
        std::string poison; ///< Prompt of a request that crashes every engine that runs it; empty for other requests.
        std::uint64_t tokens = 20; ///< Output tokens.
        int retries = 0;
        duration retryAfter = std::chrono::seconds(1);
    };
    /// Sends a request. The returned call holds the outcome of the last send.
    std::shared_ptr<virtual_call> send(const call_options &options);

    /// Applies a configuration patch through a daemon. Returns the outcome: stored, conflict, invalid, unavailable, unknown or unreachable.
    std::string patch(const std::string &daemonId, const nlohmann::json &change);
    /// Applies two patches concurrently: the rival patch is committed between the read and the commit of the first one. Returns the outcome of
    /// the first patch.
    std::string patchRace(const std::string &daemonId, const nlohmann::json &change, const std::string &rivalId, const nlohmann::json &rivalChange);
    std::string withdrawKey(const std::string &daemonId, const std::string &keyId);
    std::string grantKey(const std::string &daemonId, const std::string &keyId);

    /// Cuts every connection between the two sides. storeName stands for the platform.
    void partition(const std::vector<std::string> &left, const std::vector<std::string> &right);
    /// Restores all connections.
    void heal();
    /// Gives notice to all reclaimable endpoints of a failure domain; they disappear after `untilGone`.
    void reclaim(const std::string &failureDomain, duration untilGone);
    /// Proposes a role change to the holder of `orders`, and retries until a holder accepts the proposal.
    void orderRole(const std::string &endpointId, endpoint_role role);
    /// Proposes endpoints to the holder of `provision`, and retries until a holder accepts the proposal.
    void provision(const std::string &failureDomain, int count);

    /// Id of the daemon that holds the lease of a duty; empty when there is none.
    std::string holder(const std::string &duty) const;
    const std::vector<violation> &violations() const;
    const cell_totals &totals() const;

private:
    nlohmann::json initialDocument(const cell_options &options) const;
    void addEndpoints(const cell_options &options);
    void observe();
    void dispatch(const std::shared_ptr<virtual_call> &call, const std::string &daemonId, int retries, duration retryAfter);
    std::string pickDaemon();
    std::string applyEdit(const std::string &daemonId, const nlohmann::json &change, std::uint64_t base, const std::function<void()> &beforeCommit);

    invariant_handler m_previousHandler;
    virtual_world m_world;
    virtual_platform m_platform;
    virtual_environment m_environment;
    std::vector<violation> m_violations;
    cell_totals m_totals;
    int m_operatorCount = 0;
};

/// Text of a test key, a deterministic function of its id.
std::string virtualKeyText(const std::string &keyId);
/// Configuration entry of the test key.
nlohmann::json virtualKeyEntry(const std::string &keyId);

}
