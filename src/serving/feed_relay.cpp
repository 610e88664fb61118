#include "serving/feed_relay.h"

#include "protocol/relayed_feed.h"
#include "state/rendezvous.h"
#include "transport/boot_clock.h"
#include "transport/url_query.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <functional>

namespace lacewinglock
{

namespace
{

constexpr std::size_t relaysPerDomain = 2; // Two, so that the loss of one causes no gap.
// In a smaller domain, the relays would make as many calls to the store as they save: they query it up to twice as often as a daemon that only reads
// for itself.
constexpr std::size_t smallestRelayedDomain = 4;
constexpr auto relayResponseMargin = std::chrono::milliseconds(300); // Time beyond the wait until the relay counts as failed and the store is queried.
constexpr duration relayAnswerTime = std::chrono::milliseconds(50); // Usual time of an answer beyond the wait.
constexpr auto maxRelayWait = std::chrono::seconds(2);
constexpr const char *feedPath = "/feed";

std::map<std::string, std::string> liveDaemonDomains(const edge_context &context)
{
    std::map<std::string, std::string> out{{context.settings.id, context.settings.failureDomain}};
    for (const auto &[id, peer] : context.peers) {
        if (const auto member = context.members.find(id); member != context.members.end()) {
            out[id] = member->second.failureDomain;
        }
    }
    return out;
}

relayed_feed makeFeed(const edge_context &context, table_changes changes)
{
    const instant now = bootNow();
    const auto age = [&](instant since) {
        return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(now - since).count());
    };
    relayed_feed out{.version = changes.version, .ageMs = age(changes.requestedAt)};
    if (context.storeFailedAt != instant{}) {
        out.storeFailureAgeMs = age(context.storeFailedAt);
    }
    out.rows = std::move(changes.rows);
    return out;
}

}

bool isMemberAddress(const edge_context &context, const tcp::endpoint &remote)
{
    const std::string host = absl::StrCat(remote.address().to_string(), ":");
    return std::ranges::any_of(context.members, [&](const auto &member) {
        return member.second.address.starts_with(host);
    });
}

std::vector<std::string> chooseRelays(const std::map<std::string, std::string> &domainOf, std::string_view domain)
{
    std::vector<std::string> candidates;
    for (const auto &[id, where] : domainOf) {
        if (where == domain) {
            candidates.push_back(id);
        }
    }
    if (candidates.size() < smallestRelayedDomain) {
        return candidates;
    }
    std::ranges::sort(candidates, std::greater(), [](const std::string &id) {
        return std::pair(rendezvousWeight("feed", id), id);
    });
    candidates.resize(std::min(candidates.size(), relaysPerDomain));
    return candidates;
}

feed_role feedRole(const edge_context &context)
{
    const auto daemons = liveDaemonDomains(context);
    auto relays = chooseRelays(daemons, context.settings.failureDomain);
    if (std::ranges::find(relays, context.settings.id) != relays.end()) {
        const auto domainSize = std::ranges::count(daemons, context.settings.failureDomain, [](const auto &daemon) {
            return daemon.second;
        });
        return {.relaysForOthers = static_cast<std::size_t>(domainSize) > relays.size()};
    }
    // Half of the daemons prefer the other relay.
    if (context.incarnation % 2 == 1) {
        std::ranges::reverse(relays);
    }
    return {.relays = std::move(relays)};
}

task<absl::StatusOr<table_changes>>
queryRelay(edge_context &context, std::string relay, platform_table table, std::uint64_t version, duration wait, instant latest)
{
    const auto member = context.members.find(relay);
    const auto address
        = member == context.members.end() ? absl::NotFoundError(absl::StrCat("relay ", relay, " is not a member")) : parseAddress(member->second.address);
    if (!address.ok()) {
        co_return address.status();
    }
    const instant sentAt = bootNow();
    const duration timeForWait = std::max<duration>(latest - sentAt - relayAnswerTime, duration::zero());
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(wait, timeForWait)).count();
    http_request request(http::verb::get, absl::StrCat(feedPath, "?table=", static_cast<int>(table), "&after=", version, "&wait=", waitMs), 11);
    const exchange_options options{.deadline = std::min<instant>(sentAt + wait + relayResponseMargin, latest)};
    const auto answer = co_await callServer(context.pool, *address, std::move(request), options);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (answer->result() != http::status::ok) {
        co_return absl::UnavailableError(absl::StrCat("relay responded with HTTP status ", answer->result_int()));
    }
    auto feed = parseFeed(answer->body());
    if (!feed.ok()) {
        co_return feed.status();
    }
    if (feed->version < version) {
        co_return absl::OutOfRangeError(absl::StrCat("relay is at version ", feed->version, ", this daemon at version ", version));
    }
    if (feed->storeFailureAgeMs && *feed->storeFailureAgeMs < feed->ageMs) {
        co_return absl::UnavailableError("the relay's last call to the store failed");
    }
    // The relay computed the age after the request was sent, so counting back from the send time is on the safe side.
    table_changes out{.rows = std::move(feed->rows), .version = feed->version, .requestedAt = sentAt - std::chrono::milliseconds(feed->ageMs)};
    co_return out;
}

task<void> serveFeed(edge_context &context, received_request &request, server_reply &reply)
{
    const auto target = toView(request.message.target());
    unsigned table = 0;
    std::uint64_t after = 0;
    std::int64_t waitMs = 0;
    const bool valid = target.starts_with(feedPath) && absl::SimpleAtoi(queryValue(target, "table"), &table) && table < context.feeds.size()
        && absl::SimpleAtoi(queryValue(target, "after"), &after) && absl::SimpleAtoi(queryValue(target, "wait"), &waitMs) && waitMs >= 0;
    if (!valid || !isMemberAddress(context, request.remote)) {
        co_await reply.send(http_response(valid ? http::status::forbidden : http::status::bad_request, 11));
        co_return;
    }
    auto &feed = context.feeds[table];
    const instant until = bootNow() + std::min<duration>(std::chrono::milliseconds(waitMs), maxRelayWait);
    while (feed.history.version() <= after && bootNow() < until && !context.stopping && !reply.gone()) {
        asio::steady_timer timer(context.loop, until - bootNow());
        feed.waiters.insert(&timer);
        boost::system::error_code ignored; // A change cancels the timer.
        co_await timer.async_wait(errorTo(ignored));
        feed.waiters.erase(&timer);
    }
    auto changes = feed.history.version() < after ? table_changes{.version = feed.history.version()} : feed.history.since(after);
    http_response answer(changes ? http::status::ok : http::status::gone, 11);
    if (changes) {
        answer.body() = encodeFeed(makeFeed(context, std::move(*changes)));
    }
    co_await reply.send(std::move(answer));
}

void publishChanges(edge_context &context, platform_table table, const table_changes &changes, bool snapshot)
{
    auto &feed = context.feeds[static_cast<std::size_t>(table)];
    if (snapshot) {
        feed.history.reset(changes);
    } else {
        feed.history.add(changes);
    }
    if (snapshot || !changes.rows.empty()) {
        for (auto *timer : feed.waiters) {
            timer->cancel();
        }
    }
}

}
