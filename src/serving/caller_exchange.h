#pragma once

#include "serving/edge_context.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

inline constexpr double crashRetryAfterMs = 5000; ///< Sent with refusals of requests that crash endpoints.

/// A request of a caller with its route, deadline and identity. routeRequest() in caller_exchange.cpp fills it in.
struct caller_request
{
    received_request *received = nullptr;
    server_reply *reply = nullptr;
    std::shared_ptr<const serving_configuration> configuration;
    const serving_route *route = nullptr;
    std::string service;
    std::string id;
    std::string organisation;
    std::string fingerprint; ///< Hash of path, organisation and body. Identifies a request that crashes endpoints when it is sent again under a new id.
    std::optional<prompt_info> prompt;
    std::vector<std::string> sharedParts; ///< Keys of the parts of the prompt that other requests may share: all but the last.
    bool trialSent = false; ///< It was sent as a trial: to one endpoint only, which it may crash.
    bool isTrial = false; ///< Suspected to crash endpoints, and let through to find out whether it still does.
    int priority = 5;
    const quota_limits *quota = nullptr; ///< Of the organisation, part of `configuration`; null: no limit.
    double quotaCost = 0; ///< Taken from the quota.
    instant arrivedAt;
    instant deadline; ///< The earlier of the deadline that the caller sent and the end of the route's timeout.
};

/// Result of a request, for its log line.
struct caller_outcome
{
    int status = 0;
    std::string_view reason;
    std::string endpoint;
    int attempts = 0;
    double firstByteMs = -1; ///< Milliseconds from arrival to the first byte of the answer; negative when there was none.
};

/// Builds an error response of this daemon's own. `retryAfterMs` sets the Retry-After header; a negative value leaves the header out.
http_response makeErrorResponse(const edge_context &context, http::status status, std::string_view code, std::string_view message, double retryAfterMs = -1);

/// Builds the request that is sent to `endpoint`: the caller's request without hop-by-hop headers, the API key and the reserved headers, plus the
/// headers that the daemon sets itself.
http_request makeForwardedRequest(const edge_context &context, const caller_request &request, const endpoint_entry &endpoint, instant now);

/// Copies an endpoint's response head for the caller, without hop-by-hop headers.
http::response_header<> makeAnswerHead(const http::response_header<> &head);

/// True when the response head proves that the endpoint did not run the request.
bool isMarkedNotExecuted(const edge_context &context, const http::response_header<> &head);

/// True for the statuses that callers take as proof that the request did not run and will not run.
bool impliesNotExecuted(int status);

/// True when the head has the endpoint's seal, which proves that the endpoint itself made the response.
bool isSealed(const edge_context &context, const http::response_header<> &head);

/// Records what the endpoint said of itself in the head of an answer to a request that was sent at `sentAt`, and logs it when it has changed. With
/// instant() as `sentAt`, the answer can name a limit but not end one.
void noteAnswer(edge_context &context, endpoint_state &endpoint, const http::response_header<> &head, instant sentAt);

/// Call after a connection ended while it carried the request. Probes the endpoint in the background; if it has crashed, counts a crash against the
/// request's fingerprint and the shared parts of its prompt.
void checkForCrash(edge_context &context, const endpoint_state &endpoint, const caller_request &request);

/// Records that an endpoint served the request to its end, so that neither the request nor a part of its prompt caused earlier crashes.
void recordSuccess(edge_context &context, const caller_request &request);

/// Whether the request is to be refused because it, or a part of its prompt, crashed several endpoints. Call again before each attempt: other
/// requests may have given the evidence meanwhile.
bool crashesEndpoints(const edge_context &context, const caller_request &request);

/// Options for one attempt at an endpoint that ends at `deadline`.
exchange_options forwardOptions(const edge_context &context, const caller_request &request, instant deadline);

/// Forwards a non-streaming call to an endpoint of a plain service and sends the answer to the caller.
task<caller_outcome> forwardService(edge_context &context, caller_request &request);

/// Forwards a generation request or another streaming call and passes the events to the caller.
task<caller_outcome> forwardStream(edge_context &context, caller_request &request);

/// Finds the route, checks the API key and serves the request. Writes one log line per request.
task<void> serveCaller(edge_context &context, received_request &received, server_reply &reply);

}
