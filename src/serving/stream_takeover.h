#pragma once

#include "serving/edge_context.h"
#include "transport/timeout.h"

#include <memory>
#include <string>

namespace lacewinglock
{

/// A resumable stream that is sent to a second engine while its first engine is silent.
///
/// The first engine may be sound, so its exchange stays open until the second one has begun to answer, or has had the request for maxTakeoverOverlap
/// without refusing it. An event of the first engine before that ends the takeover.
struct stream_takeover
{
    stream_takeover(asio::io_context &loop, endpoint_ptr taking, double promptTokens)
        : engine(std::move(taking))
        , reservation(engine, promptTokens)
        , changed(loop, asio::steady_timer::time_point::max())
        , overlap(loop)
    {
    }

    endpoint_ptr engine;
    load_reservation reservation;
    std::shared_ptr<client_exchange> exchange;
    exchange_state state = exchange_state::NotSent; ///< Result of client_exchange::begin(), once `ended` is set.
    bool ended = false; ///< The engine has answered, or the exchange failed.
    bool begun = false; ///< The engine answers with the stream.
    bool committed = false; ///< The exchange of the silent engine was cancelled.
    bool dropped = false; ///< The silent engine has gone on, or the request has ended.
    asio::steady_timer changed; ///< Cancelled when `ended` is set.
    timeout overlap;
    bool isHedge = false; ///< Sent before the first engine is silent for long. The first engine to send an event serves the stream.
    std::string received; ///< Bytes of the stream of a hedge, up to the first event.
};

/// Two engines must not work on one request for longer.
inline constexpr auto maxTakeoverOverlap = std::chrono::milliseconds(300);

/// Sends the request to the engine of the takeover and waits for the head of its response, for a hedge also for the first event: its first engine is not
/// silent for long yet, so a head alone does not outdo it.
task<void> runTakeover(edge_context &context, std::shared_ptr<stream_takeover> takeover, http_request message, std::shared_ptr<client_exchange> silent);

/// Waits until the takeover has ended.
task<void> awaitTakeover(std::shared_ptr<stream_takeover> takeover);

}
