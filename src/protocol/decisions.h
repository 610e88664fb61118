#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewinglock
{

/// State of one endpoint as known to a routing decision. Times are in milliseconds, prompts and KV memory in tokens.
struct endpoint_view
{
    std::string id;
    std::string failureDomain;
    endpoint_role role = endpoint_role::Mixed;
    bool reclaimable = false;
    bool leaving = false;
    bool reachable = true;
    bool reserved = false; ///< Runs a suspect request of this daemon, which must not share the endpoint.
    bool changingRole = false;
    double reportAgeMs = 0; ///< Time since the endpoint's last load report was taken.
    double queuedPromptTokens = 0; ///< As reported.
    int runningStreams = 0; ///< As reported.
    double freeKvTokens = 0; ///< As reported.
    double ownPromptTokensSince = 0; ///< Sent by this daemon since the report was taken.
    int ownStreamsSince = 0; ///< Started by this daemon since the report was taken.
    int ownInFlight = 0; ///< Requests of this daemon in flight at the endpoint.
    double cachedPromptTokens = 0; ///< Estimated length of this prompt's prefix in the endpoint's cache.
    double prefillTokensPerSecond = 8000;
    double decodeStepMs = 20; ///< Step time with an almost empty batch.
    double decodeStepMsPerStream = 0.2; ///< Growth of the step time with each running stream.
    int ownInFlightAtReport = -1; ///< `ownInFlight` when the report was taken; negative when not tracked.
    double ownPromptTokensWaiting = -1; ///< Prompt tokens of this daemon's requests without a first token; negative when not tracked.
    double ownPromptTokensWaitingAtReport = 0; ///< `ownPromptTokensWaiting` when the report was taken.
};

/// Default policy: chooses the lowest predicted cost.
struct cost_routing
{
    static constexpr std::string_view name = "cost";
    bool useCache = true; ///< Counts cached prefixes; false serves as a benchmark baseline.
    bool preferReclaimable = true; ///< Gives reclaimable endpoints a bonus while their failure domain has headroom.
};

/// Benchmark baseline: uses the endpoints in turn.
struct round_robin_routing
{
    static constexpr std::string_view name = "round_robin";
    std::uint64_t turn = 0; ///< Increases with each decision.
};

/// Benchmark baseline: chooses the fewest reported queued tokens, then the fewest streams; ignores own work and caches.
struct least_load_routing
{
    static constexpr std::string_view name = "least_load";
};

using route_policy = std::variant<cost_routing, round_robin_routing, least_load_routing>;

/// Complete input of a routing decision.
struct route_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string group;
    std::string organisation;
    std::string promptHash;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    double remainingMs = 0; ///< Time until the request's deadline.
    bool repeatable = true; ///< May run more than once.
    bool suspect = false; ///< An endpoint crashed while running this request.
    std::vector<std::string> excluded; ///< Endpoints that already failed this request.
    std::uint64_t seed = 0; ///< Selects among options of equal cost.
    std::vector<endpoint_view> endpoints;
    double demandShare = 1; ///< Fraction of the group's demand that passes through this daemon.
    bool kvTransfer = false; ///< Allows disaggregated prefill and decode on two endpoints.
    route_policy policy;
};

/// Predicted cost of one endpoint, or the reason for its exclusion.
struct candidate_score
{
    std::string endpoint;
    double costMs = 0;
    std::string reason; ///< "chosen", "higher cost" or the reason for the exclusion.
};

/// Chosen endpoint or endpoints, with the predictions behind the choice.
struct route_result
{
    std::string endpoint; ///< Delivers the answer. Empty when no endpoint can take the request.
    std::string prefillEndpoint; ///< When set, computes the prompt's KV cache, which `endpoint` then imports.
    double predictedFirstTokenMs = 0;
    double predictedQueueMs = 0; ///< Time behind other prompts, included in `predictedFirstTokenMs`.
    std::string reason;
    std::vector<candidate_score> candidates;
};

/// Default policy: weighted fair shares; an organisation may use the unused shares of others.
struct fair_share_admission
{
    static constexpr std::string_view name = "fair_share";
};

/// Benchmark baseline: checks limits and capacity only and admits in order of arrival.
struct first_come_admission
{
    static constexpr std::string_view name = "first_come";
};

using admit_policy = std::variant<fair_share_admission, first_come_admission>;

/// Complete input of an admission decision.
struct admit_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string organisation;
    std::string keyId;
    double weight = 1; ///< Fair share weight of the organisation.
    organisation_limits limits;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    double bucketTokens = 0; ///< Level of the organisation's token bucket.
    int organisationInFlight = 0;
    int keyInFlight = 0;
    int keyLimit = 0; ///< Concurrent requests allowed for the key; 0 means no limit.
    double groupTokensInFlight = 0; ///< Tokens of this daemon's admitted requests at the group.
    double groupTokenShare = 0; ///< This daemon's share of the group's capacity, in tokens.
    double organisationTokensInFlight = 0; ///< Tokens of the organisation's admitted requests at this daemon.
    double activeWeight = 0; ///< Sum of the weights of organisations with requests waiting or running at this daemon.
    int waiting = 0; ///< Other waiting requests at this daemon.
    double predictedFirstTokenMs = 0;
    double remainingMs = 0; ///< Time until the request's deadline.
    double predictedQueueMs = 0; ///< Time behind other prompts at the engine.
    bool late = false; ///< Cannot meet the first-token target any more.
    int waitingBelowShare = 0; ///< Waiting requests of other organisations that are below their own share.
    admit_policy policy;
};

enum class admit_verdict {
    Admit,
    Wait, ///< The request keeps its place in the queue and is decided again later.
    Refuse
};

struct admit_result
{
    admit_verdict verdict = admit_verdict::Admit;
    std::string reason;
    double retryAfterMs = 0; ///< Delay after which a refused caller should retry.
};

/// A request waiting for capacity.
struct waiting_request
{
    std::string id;
    std::string organisation;
    double weight = 1; ///< Fair share weight of the organisation.
    double costTokens = 0; ///< Weighted tokens, see requestCost().
    std::uint64_t arrival = 0; ///< Sequence number of the arrival at this daemon.
    bool late = false; ///< Cannot meet the first-token target any more.
};

/// Weighted tokens already served to an organisation in the current busy period, divided by its weight.
struct served_work
{
    std::string organisation;
    double servedPerWeight = 0;
};

/// Complete input of a decision on the order of waiting requests.
struct queue_order_input
{
    std::uint64_t configVersion = 0;
    std::string group;
    std::vector<waiting_request> waiting;
    std::vector<served_work> served;
    std::uint64_t limit = 0; ///< Maximum length of the result; 0 means no limit.
    admit_policy policy;
};

struct queue_order_result
{
    std::vector<std::string> requests; ///< Request ids; the first one runs first.
};

/// Default policy: changes a role when the expected gain exceeds the loss while the engine is out of service.
struct break_even_roles
{
    static constexpr std::string_view name = "break_even";
};

/// Benchmark baseline: never changes a role.
struct fixed_roles
{
    static constexpr std::string_view name = "fixed";
};

/// Benchmark baseline: follows the prefill and decode mix of the short horizon at once.
struct follow_mix_roles
{
    static constexpr std::string_view name = "follow_mix";
};

using role_policy = std::variant<break_even_roles, fixed_roles, follow_mix_roles>;

/// State of one engine as known to the role planner.
struct role_endpoint_view
{
    std::string id;
    endpoint_role role = endpoint_role::Mixed;
    bool changingRole = false;
    bool available = true; ///< Reachable and not leaving.
    int runningStreams = 0;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 2600; ///< With as many streams as the token gap target allows.
};

/// Rates of prompt and output tokens.
struct token_demand
{
    double promptTokensPerSecond = 0; ///< Without tokens found in a prefix cache.
    double outputTokensPerSecond = 0;
};

/// Complete input of a decision on role changes.
struct role_input
{
    std::uint64_t configVersion = 0;
    std::string group;
    token_demand shortDemand; ///< Mean over tunables::shortDemandHorizon.
    token_demand longDemand; ///< Mean over tunables::longDemandHorizon.
    double changeMs = 0; ///< Expected time out of service during a change, including draining.
    double sinceLastChangeMs = 0; ///< Time since the last role change in the group.
    bool orderOpen = false; ///< An order of this group is not settled.
    std::vector<role_endpoint_view> endpoints;
    role_policy policy;
};

/// Expected gain and loss of one possible change, in tokens of goodput.
struct role_candidate
{
    std::string endpoint;
    endpoint_role role = endpoint_role::Mixed;
    double gainTokens = 0;
    double lossTokens = 0;
    std::string reason;
};

/// Chosen role change, if any, and the changes compared.
struct role_result
{
    std::string endpoint; ///< Empty when no role changes.
    endpoint_role role = endpoint_role::Mixed;
    std::string reason;
    std::vector<role_candidate> candidates;
};

/// Default policy: uses reclaimable endpoints within the headroom and ordinary ones beyond it.
struct cheap_first_provision
{
    static constexpr std::string_view name = "cheap_first";
};

/// Benchmark baseline: uses ordinary endpoints only.
struct ordinary_only_provision
{
    static constexpr std::string_view name = "ordinary_only";
};

using provision_policy = std::variant<cheap_first_provision, ordinary_only_provision>;

/// State of one endpoint as known to the provision planner.
struct provision_endpoint_view
{
    std::string id;
    std::string failureDomain;
    bool reclaimable = false;
    bool leaving = false;
    double idleMs = 0; ///< Time since the endpoint last had work.
};

/// Endpoints that the platform has accepted to deliver and not yet delivered.
struct provision_pending
{
    std::string failureDomain;
    bool reclaimable = false;
    int count = 0;
};

/// Availability of endpoints in one failure domain, as far as known from recent orders to the platform.
struct provision_domain_view
{
    std::string failureDomain;
    bool reclaimableAvailable = true;
    bool ordinaryAvailable = true;
};

/// Complete input of a decision on ordering and releasing endpoints.
struct provision_input
{
    std::uint64_t configVersion = 0;
    std::string group;
    endpoint_group limits;
    double demandEndpoints = 0; ///< Number of endpoints needed to serve the demand within the service targets.
    double reacquireMs = 0; ///< Time from ordering an endpoint to its first request.
    double ordinaryCostPerHour = 1;
    double reclaimableCostPerHour = 0.4;
    std::vector<provision_endpoint_view> endpoints;
    std::vector<provision_pending> pending;
    std::vector<provision_domain_view> domains;
    provision_policy policy;
};

/// One order or release of endpoints of one kind in one failure domain.
struct provision_step
{
    std::string failureDomain;
    bool reclaimable = false;
    int count = 0; ///< Endpoints to order; negative to release endpoints.
    std::vector<std::string> release; ///< Ids of the endpoints to release.
    std::string reason;
};

struct provision_result
{
    std::vector<provision_step> steps;
    bool headroomMet = true; ///< After these steps the demand can be served even if any one failure domain is reclaimed.
    std::string reason;
};

/// One daemon that may be listed for a caller.
struct address_candidate
{
    std::string instanceId;
    std::string address;
    std::string failureDomain;
    bool draining = false;
    double load = 0; ///< From 0, idle, to 1, full.
};

/// Complete input of a decision on the daemon addresses returned to a caller.
struct address_input
{
    std::uint64_t configVersion = 0;
    std::string organisation;
    std::string callerDomain; ///< Failure domain of the caller; empty when not known.
    std::vector<address_candidate> daemons;
};

struct address_result
{
    std::vector<std::string> addresses; ///< In the order the caller should try them.
    double lifetimeMs = 0; ///< Time for which the caller may use the list.
    std::string reason;
};

/// One line of the decision log. The input and result are stored as JSON, so that a replay can repeat the decision.
struct decision_record
{
    std::string id;
    std::string kind; ///< route, admit, order, role, provision or address.
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string input;
    std::string result;
};

}
