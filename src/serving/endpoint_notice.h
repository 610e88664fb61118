#pragma once

#include "transport/core_time.h"

#include <optional>

namespace lacewinglock
{

/// What an endpoint says of itself in the head of an answer.
struct endpoint_notice
{
    bool leaving = false; ///< It will end and wants no new requests.
    std::optional<double> limit; ///< Requests per second that it takes from all daemons together, for as long as its answers say so.
    std::optional<duration> pause; ///< Sent with a refusal: for how long it wants no requests from this daemon.

    bool operator==(const endpoint_notice &) const = default;
};

}
