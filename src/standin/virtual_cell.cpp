#include "standin/virtual_cell.h"

#include "protocol/api_keys.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr auto observationInterval = 50ms;
constexpr auto proposalRetryInterval = 500ms;
constexpr std::size_t maxViolations = 20;

std::string domainName(int number, int domains)
{
    return "z" + std::to_string(number % domains + 1);
}

std::string organisationOf(const std::string &keyId)
{
    return "org" + keyId;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : " ") + name;
    }
    return text;
}

}

std::string virtualKeyText(const std::string &keyId)
{
    return "lw_" + keyId + "_" + sha256Hex("secret of " + keyId);
}

nlohmann::json virtualKeyEntry(const std::string &keyId)
{
    const std::string salt = sha256Hex("salt of " + keyId).substr(0, 32);
    return {{"organisation", organisationOf(keyId)}, {"salt", salt}, {"hash", sha256Hex(salt + virtualKeyText(keyId))}};
}

virtual_cell::virtual_cell(const cell_options &options)
    : m_previousHandler(setInvariantHandler([this](invariant which, std::string_view detail) {
        if (m_violations.size() < maxViolations) {
            m_world.clock.record("VIOLATION of invariant " + std::to_string(static_cast<int>(which)) + ": " + std::string(detail));
            const auto &trace = m_world.clock.trace();
            m_violations.push_back({.which = which, .detail = std::string(detail), .at = m_world.clock.now(), .trace = {trace.begin(), trace.end()}});
        }
    }))
    , m_world(options.seed, options.broken)
    , m_platform(m_world)
    , m_environment{.world = m_world, .platform = m_platform, .endpoints = {}, .daemons = {}}
{
    addEndpoints(options);
    const config_holder empty;
    const config_editor editor({.read =
                                    [this](std::string_view key) {
                                        return m_platform.table().read(key);
                                    },
                                .commit =
                                    [this](const transaction &change) {
                                        return m_platform.table().commit(change);
                                    }},
                               empty);
    if (const auto stored = editor.apply({.patch = initialDocument(options), .author = "setup"}); stored.outcome != edit_outcome::Stored) {
        throw std::runtime_error("cannot store the initial configuration of the virtual cell: " + stored.message);
    }
    for (int number = 0; number < options.daemons; ++number) {
        const std::string id = "d" + std::to_string(number + 1);
        auto &added = m_environment.daemons[id] = std::make_unique<virtual_daemon>(m_environment, id, domainName(number, options.domains));
        added->start();
    }
    observe();
}

virtual_cell::~virtual_cell()
{
    setInvariantHandler(m_previousHandler);
}

void virtual_cell::addEndpoints(const cell_options &options)
{
    for (int number = 0; number < options.engines + options.services; ++number) {
        const bool service = number >= options.engines;
        const int index = service ? number - options.engines : number;
        const std::string id = (service ? "s" : "e") + std::to_string(index + 1);
        m_environment.endpoints[id] = std::make_unique<virtual_endpoint>(m_world,
                                                                         virtual_endpoint::settings{
                                                                             .id = id,
                                                                             .group = service ? "desk" : "reader",
                                                                             .failureDomain = domainName(index, options.domains),
                                                                             .reclaimable = !service && index >= options.engines - options.reclaimable,
                                                                             .checksFencing = index % 3 != 2,
                                                                         });
    }
}

nlohmann::json virtual_cell::initialDocument(const cell_options &options) const
{
    nlohmann::json document = {
        {"groups", {{"reader", {{"kind", "model"}, {"model", "reader"}}}, {"desk", {{"kind", "service"}}}}},
        {"routes",
         {{"read", {{"kind", "model"}, {"group", "reader"}, {"model", "reader"}}},
          {"book", {{"kind", "service"}, {"group", "desk"}, {"path_prefix", "/bookings"}, {"methods", {"POST"}}, {"repeatable", false}}}}},
        {"failure_domains", nlohmann::json::array()},
    };
    for (int number = 0; number < options.domains; ++number) {
        document["failure_domains"].push_back(domainName(number, options.domains));
    }
    for (int number = 1; number <= options.keys; ++number) {
        const std::string id = "k" + std::to_string(number);
        document["organisations"][organisationOf(id)] = {{"weight", 1}};
        document["keys"][id] = virtualKeyEntry(id);
    }
    int port = 20000;
    for (const auto &[id, endpoint] : m_environment.endpoints) {
        const auto &settings = endpoint->options();
        document["endpoints"][id] = {{"group", settings.group},
                                     {"address", "127.0.0.1:" + std::to_string(++port)},
                                     {"failure_domain", settings.failureDomain},
                                     {"reclaimable", settings.reclaimable},
                                     {"checks_fencing", settings.checksFencing}};
    }
    return document;
}

// Passes the lease holders and the newest configuration version held by a majority to the observer, at a fixed interval.
void virtual_cell::observe()
{
    for (const char *duty : {"orders", "provision", "roster", "usage"}) {
        std::vector<std::string> holders;
        for (const auto &[id, daemon] : m_environment.daemons) {
            if (daemon->holds(duty)) {
                holders.push_back(id);
            }
        }
        m_world.observer.checkLeaseHolders(duty, holders);
    }
    for (const auto &[id, daemon] : m_environment.daemons) {
        const auto *incarnation = daemon->incarnation();
        if (incarnation == nullptr) {
            continue;
        }
        const auto current = incarnation->config.current();
        if (current->parsed.version > m_world.observer.highestMajorityVersion() && incarnation->follower.heldByMajority(current->parsed.version)) {
            std::set<std::string> withdrawn;
            for (const auto &[key, entry] : current->parsed.keys) {
                if (entry.withdrawn) {
                    withdrawn.insert(key);
                }
            }
            m_world.clock.record("version " + std::to_string(current->parsed.version) + " is in force, says " + id);
            m_world.observer.recordMajorityVersion(current->parsed.version, withdrawn);
        }
    }
    m_world.clock.after(observationInterval, "watch", [this] {
        observe();
    });
}

void virtual_cell::runFor(duration length)
{
    m_world.clock.runUntil(m_world.clock.now() + length);
}

virtual_world &virtual_cell::world()
{
    return m_world;
}

virtual_platform &virtual_cell::platform()
{
    return m_platform;
}

virtual_daemon &virtual_cell::daemon(const std::string &id)
{
    return *m_environment.daemons.at(id);
}

virtual_endpoint &virtual_cell::endpoint(const std::string &id)
{
    return *m_environment.endpoints.at(id);
}

std::vector<std::string> virtual_cell::daemonIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, daemon] : m_environment.daemons) {
        ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> virtual_cell::engineIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, endpoint] : m_environment.endpoints) {
        if (endpoint->options().group == "reader") {
            ids.push_back(id);
        }
    }
    return ids;
}

std::string virtual_cell::pickDaemon()
{
    std::vector<std::string> live;
    for (const auto &[id, daemon] : m_environment.daemons) {
        if (daemon->alive()) {
            live.push_back(id);
        }
    }
    return live.empty() ? m_environment.daemons.begin()->first : live[m_world.clock.random(live.size())];
}

std::shared_ptr<virtual_call> virtual_cell::send(const call_options &options)
{
    auto call = std::make_shared<virtual_call>();
    const std::string number = "q" + std::to_string(++m_totals.calls);
    call->number = number;
    call->id = options.booking.empty() ? number : options.booking;
    call->keyId = options.key;
    call->key = virtualKeyText(options.key);
    call->organisation = organisationOf(options.key);
    call->booking = !options.booking.empty();
    call->poison = !options.poison.empty();
    call->prompt = call->poison ? options.poison : call->id;
    call->tokens = options.tokens;
    dispatch(call, options.daemon, options.retries, options.retryAfter);
    return call;
}

void virtual_cell::dispatch(const std::shared_ptr<virtual_call> &call, const std::string &daemonId, int retries, duration retryAfter)
{
    // The call owns this callback; a shared pointer in the callback would be a reference cycle.
    call->onEnd = [this, weak = std::weak_ptr(call), retries, retryAfter] {
        const auto done = weak.lock();
        ++m_totals.outcomes[done->outcome];
        if (done->outcome == "finished") {
            return;
        }
        ++m_totals.codes[done->code];
        if (retries > 0) {
            m_world.clock.after(retryAfter, done->id + " is sent again", [this, done, retries, retryAfter] {
                dispatch(done, "", retries - 1, retryAfter);
            });
        }
    };
    daemon(daemonId.empty() ? pickDaemon() : daemonId).acceptCall(call);
}

std::string virtual_cell::applyEdit(const std::string &daemonId, const nlohmann::json &change, std::uint64_t base, const std::function<void()> &beforeCommit)
{
    auto &accepting = daemon(daemonId);
    if (!accepting.alive() || accepting.paused()) {
        return "unreachable";
    }
    const config_editor editor({.read = [&](std::string_view key) -> absl::StatusOr<std::optional<row>> {
                                    if (!m_world.reaches(daemonId, storeName)) {
                                        return absl::UnavailableError("table service is down");
                                    }
                                    return m_platform.table().read(key);
                                },
                                .commit =
                                    [&, first = true](const transaction &patch) mutable {
                                        if (std::exchange(first, false) && beforeCommit) {
                                            beforeCommit();
                                        }
                                        return m_platform.commitNow(daemonId, patch);
                                    }},
                               accepting.incarnation()->config);
    static constexpr std::array<const char *, 5> names = {"stored", "conflict", "invalid", "unavailable", "unknown"};
    const auto result = editor.apply({.baseVersion = base, .patch = change, .author = "operator" + std::to_string(++m_operatorCount)});
    std::string outcome = names.at(static_cast<std::size_t>(result.outcome));
    m_world.clock.record("patch through " + daemonId + ": " + outcome + ", version " + std::to_string(result.version));
    if (result.outcome == edit_outcome::Stored && result.version > base) {
        accepting.announce(result.version, change);
    }
    return outcome;
}

std::string virtual_cell::patch(const std::string &daemonId, const nlohmann::json &change)
{
    const auto *incarnation = daemon(daemonId).incarnation();
    std::string outcome = incarnation == nullptr ? "unreachable" : applyEdit(daemonId, change, incarnation->config.current()->parsed.version, nullptr);
    ++m_totals.edits[outcome];
    return outcome;
}

std::string virtual_cell::patchRace(const std::string &daemonId, const nlohmann::json &change, const std::string &rivalId, const nlohmann::json &rivalChange)
{
    const auto *incarnation = daemon(daemonId).incarnation();
    if (incarnation == nullptr) {
        return "unreachable";
    }
    std::string outcome = applyEdit(daemonId, change, incarnation->config.current()->parsed.version, [&] {
        patch(rivalId, rivalChange);
    });
    ++m_totals.edits[outcome];
    return outcome;
}

std::string virtual_cell::withdrawKey(const std::string &daemonId, const std::string &keyId)
{
    return patch(daemonId, {{"keys", {{keyId, {{"withdrawn", true}}}}}});
}

std::string virtual_cell::grantKey(const std::string &daemonId, const std::string &keyId)
{
    return patch(daemonId, {{"organisations", {{organisationOf(keyId), {{"weight", 1}}}}}, {"keys", {{keyId, virtualKeyEntry(keyId)}}}});
}

void virtual_cell::partition(const std::vector<std::string> &left, const std::vector<std::string> &right)
{
    m_world.clock.record("partition: " + joined(left) + " | " + joined(right));
    for (const auto &one : left) {
        for (const auto &other : right) {
            m_world.cutConnection(one, other);
        }
    }
}

void virtual_cell::heal()
{
    m_world.clock.record("partitions end");
    m_world.cutConnections.clear();
}

void virtual_cell::reclaim(const std::string &failureDomain, duration untilGone)
{
    for (const auto &[id, endpoint] : m_environment.endpoints) {
        if (endpoint->options().reclaimable && endpoint->options().failureDomain == failureDomain) {
            endpoint->giveReclaimNotice(untilGone);
        }
    }
}

void virtual_cell::orderRole(const std::string &endpointId, endpoint_role role)
{
    const auto *incarnation = holder("orders").empty() ? nullptr : daemon(holder("orders")).incarnation();
    const bool accepted = incarnation != nullptr && daemon(holder("orders")).incarnation()->orders.propose({.endpoint = endpointId, .role = role});
    if (!accepted) {
        m_world.clock.after(proposalRetryInterval, "asks for a role", [this, endpointId, role] {
            orderRole(endpointId, role);
        });
    }
}

void virtual_cell::provision(const std::string &failureDomain, int count)
{
    const std::string id = holder("provision");
    if (id.empty() || !daemon(id).incarnation()->provision.propose({.group = "reader", .failureDomain = failureDomain, .count = count})) {
        m_world.clock.after(proposalRetryInterval, "asks for endpoints", [this, failureDomain, count] {
            provision(failureDomain, count);
        });
    }
}

std::string virtual_cell::holder(const std::string &duty) const
{
    for (const auto &[id, daemon] : m_environment.daemons) {
        if (daemon->holds(duty)) {
            return id;
        }
    }
    return "";
}

const std::vector<violation> &virtual_cell::violations() const
{
    return m_violations;
}

const cell_totals &virtual_cell::totals() const
{
    return m_totals;
}

}
