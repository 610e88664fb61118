#pragma once

#include "serving/caller_exchange.h"
#include "serving/request_admission.h"

#include <optional>
#include <string_view>

namespace lacewinglock
{

/// Why a request is not admitted.
struct admission_refusal
{
    std::string_view reason;
    double retryAfterMs = 0;
};

/// Decides whether the request may be placed, after a wait at this daemon if need be. nullopt: place it. Without the setting `fair_admission`, every
/// request is placed at once.
task<std::optional<admission_refusal>> admitCaller(edge_context &context, caller_request &request);

/// Call when an admitted request has ended. One that could not be placed counts as refused, unless its caller has left.
void noteAdmittedEnd(edge_context &context, const caller_request &request, const caller_outcome &outcome);

/// What placement predicts for a call of a plain service, without sending it.
admission_outlook predictService(edge_context &context, const caller_request &request);
/// The same for a stream.
admission_outlook predictStream(edge_context &context, caller_request &request);

}
