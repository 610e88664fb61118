#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Performance model of the engines of a deployment. The values are settings, because engines don't report them.
struct engine_model
{
    double prefillTokensPerMs = 54.6; ///< Prefill speed of a prefill engine within a step.
    double stepMs = 5.6; ///< Duration of a step with an empty batch.
    double stepMsPerRequest = 0.12; ///< Added to each step per running request.
    double chunkTokens = 1024; ///< Prompt tokens of one chunk, which a prefill engine processes in one step.
    double attentionMsPerMillionPairs = 0.25; ///< Attention time per million pairs of a prefilled token and a token before it.
    double transferSetupMs = 8; ///< Fixed time of a KV transfer between engines.
    double firstTokenOverheadMs = 61; ///< Fixed time that each prefill adds to its queue time and work.
    double mixedPrefillSlowdown = 2; ///< Prefill of a token takes longer by this factor on engines that decode too.
    double mixedChunkFraction = 0.25; ///< Such an engine processes this fraction of a chunk in one step.
};

/// State of one engine, as input of placeGeneration().
struct engine_candidate
{
    std::string id;
    endpoint_role role = endpoint_role::Mixed;
    bool local = false; ///< In the daemon's failure domain.
    bool excluded = false; ///< Not usable: it already failed this request, is down, draining or reserved.
    int running = 0; ///< Running requests of all daemons, according to their last messages.
    int slots = 1;
    double queuedTokens = 0; ///< Prompt tokens sent whose prefill has not ended.
    double cachedTokens = 0; ///< Leading tokens of this prompt that it probably has cached.
    double slowdown = 1; ///< Ratio of measured to predicted prefill time.
    double failureRate = 0; ///< Fraction of the recent attempts that failed.
    double overdueMs = 0; ///< How long its oldest outstanding response is overdue.
    double heldMs = 0; ///< Time until this daemon may send it a request, because of its limit or a pause that it asked for. Counts as its queue.
    double pace = 1; ///< Ratio of the time that work takes there to the time by the model; 1 unless the pace of the service is uneven.

    bool operator==(const engine_candidate &) const = default;
};

/// Part of the input for a service whose endpoints work at an uneven pace.
struct uneven_pace
{
    std::uint32_t choice = 0; ///< Random number that decides among endpoints of nearly equal cost.
    double overheadMs = 0; ///< Added to the model's first-token overhead. Not used for plain services, like the next one.
    double work = 1; ///< Factor of the model's times for prefill and steps.

    bool operator==(const uneven_pace &) const = default;
};

/// Input of placeGeneration() for one request.
///
/// All numbers are multiples of 0.1 (slowdown, failure rate, pace and work factor: of 0.01), so that the log line holds exactly the values that the decision
/// used.
struct generation_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    double promptTokens = 0;
    double elapsedMs = 0; ///< Time since the request arrived.
    double targetMs = 0; ///< Target time from arrival to the first event.
    double remainingMs = 0; ///< Time until the request's deadline.
    bool mayDisaggregate = true; ///< Prefill and decode may run on different engines.
    double kvTokenBytes = 0; ///< KV memory per token.
    double linkMbps = 0; ///< Bandwidth for KV transfers between engines; 0 if unknown.
    double peerAgeMs = 0; ///< Age of the oldest summary of a peer whose load is counted. Only logged, not used.
    double jitter = 0; ///< Uniform in [0, 1): spreads the retry times.
    std::vector<engine_candidate> engines;
    std::optional<uneven_pace> uneven; ///< Set while the pace of the service is uneven.

    bool operator==(const generation_input &) const = default;
};

enum class placement_verdict {
    Run,
    RunLate, ///< Run, although the first event is predicted after the target time.
    Refuse
};

/// Decision of placeGeneration(). Engines are indices into generation_input::engines.
struct generation_result
{
    placement_verdict verdict = placement_verdict::Refuse;
    int prefillIndex = -1; ///< Prefill engine when disaggregated; -1 when the decode engine also does the prefill.
    int decodeIndex = -1; ///< Decode engine, which sends the response; -1 when no engine is available.
    int kvSourceIndex = -1; ///< Engine from which the prefilling engine fetches cached prefix blocks; -1 for none.
    double firstEventMs = 0; ///< Predicted time from now to the first event.
    double prefillDoneMs = 0; ///< Predicted time from now to the end of the prefill.
    double queueMs = 0; ///< Predicted queue time: at the prefilling engine, or after the prefill if the decode engine holds the request longer.
    double prefillMs = 0; ///< Predicted prefill work at the prefilling engine.
    double retryAfterMs = 0; ///< Set when refused.
    std::string_view reason;
};

/// Predicted time in milliseconds for the prefill of `tokens` tokens that follow `cachedTokens` cached ones, at an engine with `running` requests.
double prefillMs(const engine_model &model, endpoint_role role, double tokens, double cachedTokens, int running);

/// Chooses the engines for one generation request.
///
/// Designed for alternating bursts of long prompts with shared prefixes and of short prompts. The options are compared by the predicted time to
/// the first event: prefill on a prefill engine followed by a KV transfer, or prefill on the decode engine itself; in each case with prefix
/// blocks that are cached there, fetched from another engine, or computed again. So work goes to any engine that is free, without a role change.
/// A request that would start long after its target time on every path is refused at once, with a retry time taken from the queue of the
/// cheapest path.
///
/// While the pace of the service is uneven, the choice among nearly equal paths is random, because all daemons see the same figures late and would
/// otherwise choose the same engine.
generation_result placeGeneration(const generation_input &input, const engine_model &model);

/// Chooses the decode engine for a prompt whose prefill has just ended, by the current state; -1 when all are full or excluded.
/// `prefillIsLocal` says whether the prefill engine is in the daemon's failure domain.
int placeDecode(const generation_input &input, const engine_model &model, bool prefillIsLocal);

/// State of one endpoint of a plain service, as input of placeService(). Fields as in engine_candidate.
struct service_candidate
{
    std::string id;
    bool local = false;
    bool excluded = false;
    int running = 0;
    int slots = 1;
    double failureRate = 0;
    double overdueMs = 0;
    double heldMs = 0;
    double pace = 1;

    bool operator==(const service_candidate &) const = default;
};

/// Input of placeService() for one request. Fields and rounding as in generation_input.
struct service_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    double workMs = 50; ///< Measured mean response time of the route; at pace 1 while the pace is uneven.
    double remainingMs = 0;
    double onTimeMs = 0; ///< Time until the answer is late. No endpoint is waited for beyond it.
    double peerAgeMs = 0;
    double jitter = 0;
    std::vector<service_candidate> endpoints;
    std::optional<uneven_pace> uneven;

    bool operator==(const service_input &) const = default;
};

/// Decision of placeService().
struct service_result
{
    placement_verdict verdict = placement_verdict::Refuse;
    int endpoint = -1; ///< Index into service_input::endpoints; -1 when none is available.
    double predictedMs = 0; ///< Predicted response time.
    double retryAfterMs = 0;
    std::string_view reason;
};

/// Chooses the endpoint of a plain service with the shortest predicted response time.
///
/// Designed for bursts of short calls on few slots, while each daemon receives the load of the others late.
service_result placeService(const service_input &input);

}
