#include "serving/stream_takeover.h"

#include "serving/body_kind.h"
#include "serving/caller_exchange.h"
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
    takeover->overlap.cancel();
    if (takeover->dropped) {
        co_return;
    }
    if (hasHead(takeover->state)) {
        noteAnswer(context, *takeover->engine, takeover->exchange->head(), sentAt);
        takeover->begun = isStream(context, takeover->exchange->head());
    }
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
