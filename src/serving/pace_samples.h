#pragma once

#include "serving/edge_context.h"

/// Measurements and reports from which the pace of endpoints is learned, and its use in the inputs of placement.
namespace lacewinglock
{

/// Records the load that an endpoint reported in an answer.
void noteLoadFigures(edge_context &context, endpoint_state &endpoint, const load_figures &load);

/// The part of a placement input for services of uneven pace, with a new random number; nullopt for other services. Counts the placement.
std::optional<uneven_pace> makeUnevenPace(edge_context &context, std::string_view service, instant now);

/// Publishes measured prefill times of a few engines through the shared sums, and reads what the other daemons have measured. Call regularly.
///
/// A daemon that sees a hundredth of the prompts would need minutes to learn the speed of an engine alone. Each engine is published by some of the
/// daemons, chosen by hash. When the sums are lost, the last known ones stay in use.
void sharePaces(edge_context &context);

/// Time of the prefill of one prompt at an engine, from its dispatch.
struct prompt_timer
{
    endpoint_ptr engine;
    instant sentAt;
    double figure = 1; ///< The reported pace then.
    double tokens = 0; ///< Prompt tokens that are not cached.
    double cachedTokens = 0;
    int running = 0; ///< Requests at the engine then.
    bool wasQueued = false; ///< Other prompts were ahead of it.
};

/// Starts a timer. Call before the prompt counts in the load of the engine.
prompt_timer startPromptTimer(const endpoint_ptr &engine, double tokens, double cachedTokens, instant sentAt);

/// Notes that the first event or the KV handle of a prompt has arrived. Prompts that waited for others say nothing about the pace.
void notePromptTime(edge_context &context, const prompt_timer &timer, instant now);

/// Events of one stream from one engine.
struct event_times
{
    int events = 0;
    instant first;
    instant last;
};

/// Notes the pace of decode steps at the end of a stream.
void noteEventTimes(edge_context &context, endpoint_state &engine, const event_times &times);

/// Time of one plain call, from its dispatch.
struct call_timer
{
    instant sentAt;
    double figure = 1; ///< The reported pace then.
    bool wasFull = false; ///< The endpoint had no free slot.
};

/// Starts a timer. Call before the request counts in the load of the endpoint.
call_timer startCallTimer(const endpoint_state &endpoint, instant sentAt);

/// Notes that a call of a route was answered whole. Calls that waited for a slot say nothing about the pace.
void noteCallTime(edge_context &context, endpoint_state &endpoint, std::string_view route, const call_timer &timer, instant now);

}
