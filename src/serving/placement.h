#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// How fast the engines of a deployment work. Settings, because engines don't report it.
struct engine_model
{
    double promptTokensPerMs = 54.6; ///< Read by an engine for prompts, within a step.
    double stepMs = 5.6; ///< Of an engine with an empty batch.
    double stepMsPerRequest = 0.12; ///< More for each running request.
    double chunkTokens = 1024; ///< Prompt tokens read in one step.
    double pairMsPerMillion = 0.25; ///< Attention: for each million pairs of a read token and a token before it.
    double transferSetupMs = 8;
    double firstTokenMs = 61; ///< Fixed time of each reading, beside the work.
    double mixedSlowdown = 2; ///< Reading on an engine for outputs.
    double mixedChunkPart = 0.25; ///< Its part of a chunk in one step.
};

/// What the choice of engines sees of one engine.
struct engine_candidate
{
    std::string id;
    endpoint_role role = endpoint_role::Mixed;
    bool local = false; ///< In the daemon's failure domain.
    bool excluded = false; ///< Failed this request already, is down or leaving.
    int running = 0; ///< Sent by all daemons, as far as known here.
    int slots = 1;
    double queuedTokens = 0; ///< Prompt tokens sent and not yet read.
    double cachedTokens = 0; ///< Leading tokens of this prompt that it probably keeps.
    double slowness = 1; ///< Measured time against the model's.
    double failureShare = 0; ///< Part of the recent attempts that failed.
    double overdueMs = 0; ///< How long its oldest answer is overdue.

    bool operator==(const engine_candidate &) const = default;
};

/// All numbers are multiples of a tenth (slowness and failure share: of a hundredth), so that a log line holds exactly what was decided upon.
struct generation_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    double promptTokens = 0;
    double elapsedMs = 0; ///< Since the request arrived.
    double targetMs = 0; ///< Wanted time to the first event.
    double remainingMs = 0; ///< Until the request's deadline.
    bool maySplit = true; ///< Prompt and output on different engines.
    double kvTokenBytes = 0;
    double linkMbps = 0;
    double peerAgeMs = 0; ///< Age of the oldest summary of a peer whose load is counted. For the log.
    double roll = 0; ///< Uniform in [0, 1): spreads the times to come back.
    std::vector<engine_candidate> engines;

    bool operator==(const generation_input &) const = default;
};

enum class placement_verdict {
    Run,
    RunLate, ///< Begins after the wanted time.
    Refuse
};

struct generation_result
{
    placement_verdict verdict = placement_verdict::Refuse;
    int prompt = -1; ///< Engine that reads the prompt for the other one; -1 when the second reads it itself.
    int output = -1; ///< Engine that delivers the answer.
    int fetchFrom = -1; ///< Engine from which the reading one gets the parts that it lacks.
    double firstEventMs = 0; ///< Predicted, from now.
    double promptReadMs = 0; ///< Predicted, from now, until the prompt is read.
    double queueMs = 0; ///< Predicted wait behind others at the reading engine.
    double readingMs = 0; ///< Work at the reading engine.
    double retryAfterMs = 0;
    std::string_view reason;
};

/// Milliseconds an engine of that role takes to read tokens behind others that are kept already.
double readingMs(const engine_model &model, endpoint_role role, double tokens, double keptTokens, int running);

/// Chooses the engines for one generation.
///
/// Load it answers: long prompts with shared parts and short prompts in alternating bursts. Each path is judged by the predicted first event:
/// reading on an engine for prompts and moving the memory, or reading where the output is made; with kept parts where they are, fetched from
/// their holder, or read again. So work flows to whichever kind of engine is free, without a change of role. A request that would begin long
/// after its wanted time on every path is refused at once, with the time at which the shortest queue allows it again.
generation_result placeGeneration(const generation_input &input, const engine_model &model);

/// The best engine for the output of a prompt that was just read in that failure domain, by the state of now; -1 when none has room.
int placeOutput(const generation_input &input, const engine_model &model, bool readerIsLocal);

/// What the choice of a plain service's endpoint sees of one endpoint.
struct service_candidate
{
    std::string id;
    bool local = false;
    bool excluded = false;
    int running = 0;
    int slots = 1;
    double failureShare = 0;
    double overdueMs = 0;

    bool operator==(const service_candidate &) const = default;
};

/// Numbers as in generation_input.
struct service_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    double workMs = 50; ///< Measured mean of the route.
    double remainingMs = 0;
    double peerAgeMs = 0;
    double roll = 0;
    std::vector<service_candidate> endpoints;

    bool operator==(const service_input &) const = default;
};

struct service_result
{
    placement_verdict verdict = placement_verdict::Refuse;
    int endpoint = -1;
    double predictedMs = 0;
    double retryAfterMs = 0;
    std::string_view reason;
};

/// Chooses the endpoint of a plain service with the shortest predicted answer.
///
/// Load it answers: bursts of short calls on few slots, seen by daemons that learn of each other's sendings late.
service_result placeService(const service_input &input);

}
