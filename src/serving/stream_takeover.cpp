#include "serving/stream_takeover.h"

#include "serving/body_kind.h"
#include "serving/caller_exchange.h"
#include "serving/event_stream.h"
#include "transport/boot_clock.h"

#include <absl/cleanup/cleanup.h>

namespace lacewinglock
{

namespace
{

bool isStream(const edge_context &context, const http::response_header<> &head)
{
    return head.result() == http::status::ok && isSealed(context, head) && !isMarkedNotExecuted(context, head) && bodyKind(head) != body_kind::Other;
}

attempt_result classifyFailure(const edge_context &context, const stream_takeover &takeover)
{
    switch (takeover.state) {
    case exchange_state::NotSent:
        return attempt_result::Unreachable;
    case exchange_state::TimedOut:
        return attempt_result::NoAnswer;
    case exchange_state::InProgress:
    case exchange_state::Complete:
        return isMarkedNotExecuted(context, takeover.exchange->head()) ? attempt_result::Rejected : attempt_result::Failed;
    default:
        return attempt_result::ConnectionLost;
    }
}

constexpr std::size_t maxFirstEventBytes = 1U << 20U; // Of an event, as for streams that are passed on.

// Returns whether a whole event has arrived.
task<bool> readFirstEvent(std::shared_ptr<stream_takeover> takeover)
{
    event_splitter events;
    while (takeover->state == exchange_state::InProgress) {
        std::string bytes;
        takeover->state = co_await takeover->exchange->readSome(bytes);
        events.feed(bytes);
        takeover->received += bytes;
        if (events.next()) {
            co_return true;
        }
        takeover->exchange->holdBytes(events.partialBytes());
        if (events.partialBytes() > maxFirstEventBytes) {
            takeover->exchange->cancel();
            takeover->state = exchange_state::Malformed;
        }
    }
    co_return false;
}

// The action refers to the takeover weakly, because the takeover owns the timer.
void limitOverlap(const std::shared_ptr<stream_takeover> &takeover, const std::shared_ptr<client_exchange> &silent, duration time)
{
    takeover->overlap.start(time, [weak = std::weak_ptr(takeover), silent] {
        const auto self = weak.lock();
        if (!self || self->ended || self->dropped) {
            return;
        }
        if (self->exchange->requestSent()) {
            self->committed = true;
            silent->cancel();
        } else {
            limitOverlap(self, silent, maxTakeoverOverlap);
        }
    });
}

}

task<void> runTakeover(edge_context &context, std::shared_ptr<stream_takeover> takeover, http_request message, std::shared_ptr<client_exchange> silent)
{
    const instant sentAt = bootNow();
    const auto wake = absl::MakeCleanup([&takeover] {
        takeover->ended = true;
        takeover->changed.cancel();
    });
    limitOverlap(takeover, silent, maxTakeoverOverlap);
    takeover->state = co_await takeover->exchange->begin(message);
    bool streams = false;
    if (hasHead(takeover->state) && !takeover->dropped) {
        noteAnswer(context, *takeover->engine, takeover->exchange->head(), sentAt);
        streams = isStream(context, takeover->exchange->head());
        if (streams && takeover->isHedge) {
            streams = co_await readFirstEvent(takeover);
        }
    }
    takeover->overlap.cancel();
    if (takeover->dropped) {
        co_return;
    }
    takeover->begun = streams;
    if (takeover->begun) {
        takeover->committed = true;
        silent->cancel();
    } else if (takeover->state != exchange_state::Cancelled) {
        context.endpoints.noteResult(*takeover->engine, classifyFailure(context, *takeover), bootNow());
        takeover->exchange->cancel();
    }
}

task<void> awaitTakeover(std::shared_ptr<stream_takeover> takeover)
{
    while (!takeover->ended) {
        boost::system::error_code ignored; // The timer is cancelled.
        co_await takeover->changed.async_wait(errorTo(ignored));
    }
}

}
