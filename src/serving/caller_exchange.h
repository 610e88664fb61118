#pragma once

#include "serving/edge_context.h"

#include <memory>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// One caller request after routing.
struct caller_request
{
    received_request *received = nullptr;
    server_reply *reply = nullptr;
    std::shared_ptr<const serving_configuration> configuration;
    const serving_route *route = nullptr;
    std::string service;
    std::string id;
    std::string organisation;
    std::string fingerprint; ///< Of path, organisation and body: names a request that crashes endpoints across its repetitions.
    int priority = 5;
    instant arrivedAt;
    instant deadline; ///< When the caller leaves or the route's timeout is over.
};

/// What became of it, for the log.
struct caller_outcome
{
    int status = 0;
    std::string_view reason;
    std::string endpoint;
    int attempts = 0;
    double firstByteMs = -1;
};

/// Refusal or failure made here. `retryAfterMs` below zero leaves the field out.
http_response makeRefusal(const edge_context &context, http::status status, std::string_view code, std::string_view message, double retryAfterMs = -1);

/// The request as an endpoint gets it: the caller's, less hop-by-hop fields, the key and all that the system sets itself.
http_request makeForwarded(const edge_context &context, const caller_request &request, const endpoint_entry &endpoint, instant now);

/// The head of an endpoint's answer as the caller gets it.
http::response_header<> makeAnswerHead(const http::response_header<> &head);

/// The endpoint certainly did not run the request.
bool saysNotRun(const edge_context &context, const http::response_header<> &head);

/// Tells a caller that the request did not run and never will.
bool promisesNotRun(int status);

/// The seal proves that an answer is an endpoint's own.
bool isSealed(const edge_context &context, const http::response_header<> &head);

/// A connection ended while it carried the request. Finds out whether the endpoint has crashed, and counts the request as suspect if so.
void noteLostConnection(edge_context &context, const endpoint_state &endpoint, const std::string &fingerprint);

/// The request crashed so many endpoints that it is refused. After a while one daemon of all lets it through again.
bool isSuspect(const edge_context &context, const std::string &fingerprint);

exchange_options forwardOptions(const edge_context &context, const caller_request &request, instant deadline);

/// Serves a plain call.
task<caller_outcome> forwardService(edge_context &context, caller_request &request);

/// Serves a generation or another stream.
task<caller_outcome> forwardStream(edge_context &context, caller_request &request);

/// Finds the route, checks the key and serves the request. Writes one log line per request.
task<void> serveCaller(edge_context &context, received_request &received, server_reply &reply);

}
