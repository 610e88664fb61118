#include "standin/virtual_daemon.h"

#include "protocol/tunables.h"
#include "state/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *cellName = "main";
constexpr std::uint64_t windowSeconds = 10;
constexpr std::uint64_t graceSeconds = 3;
constexpr auto leaseReleaseTimeout = 8s;
constexpr int ticksPerSecond = 10;

}

daemon_incarnation::daemon_incarnation(const std::string &daemonId, std::string id)
    : incarnationId(std::move(id))
    , roster(cellName, daemonId)
    , orders(cellName)
    , provision(cellName)
    , windows(cellName)
    , batches(cellName, daemonId, incarnationId, usage)
{
}

virtual_daemon::virtual_daemon(virtual_environment &environment, std::string id, std::string failureDomain)
    : m_environment(environment)
    , m_world(environment.world)
    , m_id(std::move(id))
    , m_failureDomain(std::move(failureDomain))
{
}

void virtual_daemon::start()
{
    if (m_incarnation) {
        return;
    }
    m_clockOffset = m_world.clock.randomBetween(0s, 1h);
    m_wallSkew = m_world.clock.randomBetween(0s, 400ms);
    m_pausedUntil = {};
    m_ticks = 0;
    m_incarnation = std::make_shared<daemon_incarnation>(m_id, m_id + "run" + std::to_string(++m_starts));
    m_incarnation->startedAt = now();
    createStateMachines(*m_incarnation);
    m_incarnation->usage.setReplicate([this](const usage_record &record) {
        return replicate(*m_incarnation, record);
    });
    m_incarnation->usage.setRelease([this](const std::vector<std::string> &ids) {
        releaseUsage(*m_incarnation, ids);
    });
    m_environment.platform.setInstance({.id = m_id, .failureDomain = m_failureDomain});
    m_world.clock.record(m_id + " starts");
    post(m_world.clock.randomBetween(0s, tunables::controlTick), "tick", [this](daemon_incarnation &incarnation) {
        runTick(incarnation);
    });
}

// Breaks the connections to callers and cancels the running attempts at the endpoints.
void virtual_daemon::discardIncarnation()
{
    const auto incarnation = std::exchange(m_incarnation, nullptr);
    m_environment.platform.removeInstance(m_id);
    for (const auto &[id, open] : incarnation->requests) {
        if (!open->attemptId.empty()) {
            m_environment.endpoints.at(open->endpoint)->cancel(open->attemptId);
        }
        endCall(open->call, "lost", "");
    }
}

void virtual_daemon::kill()
{
    if (m_incarnation) {
        m_world.clock.record(m_id + " is killed");
        discardIncarnation();
    }
}

void virtual_daemon::pause(duration length)
{
    m_world.clock.record(m_id + " is paused for " + std::to_string(toMs(length)) + " ms");
    m_pausedUntil = std::max(m_pausedUntil, m_world.clock.now() + length);
    m_world.clock.after(length, m_id + " resumes", [this] {
        if (m_incarnation && !paused()) {
            for (const auto &action : std::exchange(m_incarnation->deferredActions, {})) {
                action();
            }
        }
    });
}

void virtual_daemon::shutDown()
{
    if (!m_incarnation || m_incarnation->refusing) {
        return;
    }
    m_world.clock.record(m_id + " drains");
    m_environment.platform.setInstance({.id = m_id, .failureDomain = m_failureDomain, .leaving = true});
    post(tunables::drainGrace, "refuses new requests", [](daemon_incarnation &incarnation) {
        incarnation.refusing = true;
    });
}

void virtual_daemon::stallOrders(duration length)
{
    m_world.clock.record(m_id + " stalls between lease check and order");
    m_orderWriteStall = length;
}

const std::string &virtual_daemon::id() const
{
    return m_id;
}

const std::string &virtual_daemon::failureDomain() const
{
    return m_failureDomain;
}

bool virtual_daemon::alive() const
{
    return m_incarnation != nullptr;
}

bool virtual_daemon::paused() const
{
    return m_world.clock.now() < m_pausedUntil;
}

daemon_incarnation *virtual_daemon::incarnation() const
{
    return m_incarnation.get();
}

instant virtual_daemon::now() const
{
    return m_world.clock.now() + m_clockOffset;
}

bool virtual_daemon::holds(const std::string &duty) const
{
    return m_incarnation && m_incarnation->leases.at(duty)->grant(now()).has_value();
}

void virtual_daemon::run(const std::weak_ptr<daemon_incarnation> &owner, const incarnation_action &action)
{
    const auto incarnation = owner.lock();
    if (!incarnation || incarnation != m_incarnation) {
        return;
    }
    if (paused()) {
        incarnation->deferredActions.push_back([this, owner, action] {
            run(owner, action);
        });
        return;
    }
    action(*incarnation);
}

void virtual_daemon::post(duration delay, const std::string &label, incarnation_action action)
{
    m_world.clock.after(delay, m_id + " " + label, [this, owner = std::weak_ptr(m_incarnation), action = std::move(action)] {
        run(owner, action);
    });
}

template <typename StateMachine>
void virtual_daemon::addStateMachine(daemon_incarnation &incarnation, const std::string &name, StateMachine &target, const lease_keeper *lease)
{
    incarnation.stateMachines.push_back({.name = name, .handle = [&incarnation, &target, lease](const auto &event, instant at, auto &out) {
                                             if constexpr (requires { target.setGrant(std::optional<lease_grant>()); }) {
                                                 target.setGrant(incarnation.releasingLeases ? std::nullopt : lease->grant(at));
                                             }
                                             target.handle(event, at, out);
                                         }});
}

// Leases have the first indices, sorted by duty, because advanceShutdown and the count of pending effects rely on them.
void virtual_daemon::createStateMachines(daemon_incarnation &incarnation)
{
    for (const char *duty : {"orders", "provision", "roster", "usage"}) {
        auto &lease = incarnation.leases[duty] = std::make_unique<lease_keeper>(cellName, duty, m_id + "/" + incarnation.incarnationId);
        addStateMachine(incarnation, duty, *lease, nullptr);
    }
    addStateMachine(incarnation, "roster rows", incarnation.roster, incarnation.leases.at("roster").get());
    addStateMachine(incarnation, "order rows", incarnation.orders, incarnation.leases.at("orders").get());
    addStateMachine(incarnation, "provision rows", incarnation.provision, incarnation.leases.at("provision").get());
    addStateMachine(incarnation, "windows", incarnation.windows, incarnation.leases.at("usage").get());
    addStateMachine(incarnation, "batches", incarnation.batches, nullptr);
    addStateMachine(incarnation, "configuration", incarnation.follower, nullptr);
}

void virtual_daemon::runTick(daemon_incarnation &incarnation)
{
    const auto wall
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>((m_world.clock.now() + m_wallSkew).time_since_epoch()).count());
    const window_clock window{.current = wall / windowSeconds, .firstNotClosable = (wall - graceSeconds) / windowSeconds};
    incarnation.windows.setWindow(window);
    incarnation.batches.setWindow(window);
    if (incarnation.refusing) {
        incarnation.batches.requestFlush();
    }
    for (std::size_t index = 0; index < incarnation.stateMachines.size(); ++index) {
        deliver(incarnation, index, tick_event{});
    }
    if (m_ticks++ % ticksPerSecond == 0) {
        runEverySecond(incarnation);
    }
    pollEndpoints(incarnation);
    recordInstalledConfig(incarnation);
    tickRequests(incarnation);
    post(tunables::controlTick, "tick", [this](daemon_incarnation &current) {
        runTick(current);
    });
    if (incarnation.refusing) {
        advanceShutdown(incarnation);
    }
}

void virtual_daemon::runEverySecond(daemon_incarnation &incarnation)
{
    const auto &members = incarnation.roster.roster().members;
    for (auto &[duty, lease] : incarnation.leases) {
        lease->setRank(rendezvousRank(duty, m_id, members));
    }
    incarnation.endpoints.configure(incarnation.config.current()->parsed);
    incarnation.follower.setRoster(members, m_id);
    forwardEndpointReports(incarnation);
    sendHeartbeats(incarnation);
    adoptUsage(incarnation);
    if (m_world.reaches(m_id, storeName)) {
        post(5ms, "lists instances", [this](daemon_incarnation &current) {
            current.roster.setInstances(m_environment.platform.instances());
        });
    }
}

void virtual_daemon::recordInstalledConfig(daemon_incarnation &incarnation)
{
    const auto current = incarnation.config.current();
    const std::uint64_t version = current->parsed.version;
    if (version != incarnation.lastInstalledVersion) {
        const std::string text = current->document.dump();
        m_world.observer.recordInstalledVersion(m_id, incarnation.lastInstalledVersion, version, XXH3_64bits(text.data(), text.size()));
        incarnation.lastInstalledVersion = version;
    }
}

void virtual_daemon::deliver(daemon_incarnation &incarnation, std::size_t index, const control_event &event)
{
    std::vector<control_effect> effects;
    incarnation.stateMachines[index].handle(event, now(), effects);
    perform(incarnation, index, effects);
}

void virtual_daemon::perform(daemon_incarnation &incarnation, std::size_t index, std::vector<control_effect> &effects)
{
    for (const auto &effect : effects) {
        incarnation.pendingEffects += index >= incarnation.leases.size() ? 1 : 0;
        std::visit(
            [&](const auto &typed) {
                performEffect(typed, answerHandler(index));
            },
            effect);
    }
}

// Answers are delivered only to the incarnation that made the request.
std::function<void(control_event)> virtual_daemon::answerHandler(std::size_t index)
{
    return [this, index, owner = std::weak_ptr(m_incarnation)](const control_event &event) {
        run(owner, [this, index, event](daemon_incarnation &incarnation) {
            incarnation.pendingEffects -= index >= incarnation.leases.size() ? 1 : 0;
            deliver(incarnation, index, event);
        });
    };
}

void virtual_daemon::performEffect(const read_row_effect &effect, const std::function<void(control_event)> &answer)
{
    m_environment.platform.read(m_id, effect.key, [answer, op = effect.op](const auto &result) {
        answer(row_read_event{.op = op, .result = result});
    });
}

void virtual_daemon::performEffect(const scan_rows_effect &effect, const std::function<void(control_event)> &answer)
{
    m_environment.platform.scan(m_id, effect.prefix, [answer, op = effect.op](const auto &result) {
        answer(rows_scanned_event{.op = op, .result = result});
    });
}

void virtual_daemon::performEffect(const commit_effect &effect, const std::function<void(control_event)> &answer)
{
    m_environment.platform.commit(m_id, effect.change, [answer, op = effect.op](commit_outcome outcome) {
        answer(commit_event{.op = op, .outcome = outcome});
    });
}

// The lease check is the last step before the write, so a stall between the two lets an order of a former holder through.
void virtual_daemon::performEffect(const send_order_effect &effect, const std::function<void(control_event)> &answer)
{
    post(m_world.clock.randomBetween(0ms, 3ms), "checks its lease for an order", [this, effect, answer](daemon_incarnation &) {
        if (now() >= effect.validUntil) {
            answer(delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent});
        } else {
            writeOrder(effect.order, effect.op, answer);
        }
    });
}

void virtual_daemon::writeOrder(const endpoint_order &order, op_id op, const std::function<void(control_event)> &answer)
{
    endpoint_order sent = order;
    if (m_world.broken == broken_mechanism::OrderContent && m_world.clock.chance(0.5)) {
        sent.role = sent.role == endpoint_role::Prefill ? endpoint_role::Decode : endpoint_role::Prefill;
    }
    const duration delay = std::exchange(m_orderWriteStall, duration(0)) + m_world.clock.randomBetween(1ms, tunables::orderSendDeadline);
    m_world.clock.after(delay, m_id + " order reaches " + sent.endpoint, [this, sent, op, answer] {
        const auto found = m_environment.endpoints.find(sent.endpoint);
        const auto result = found == m_environment.endpoints.end() ? std::nullopt : found->second->acceptOrder(sent);
        const bool lost = m_world.clock.chance(0.2);
        m_world.clock.after(3ms, m_id + " order answered", [result, lost, op, answer] {
            answer(delivery_event{.op = op, .outcome = lost ? delivery_outcome::Unknown : result.value_or(delivery_outcome::NotSent)});
        });
    });
}

void virtual_daemon::performEffect(const send_provision_effect &effect, const std::function<void(control_event)> &answer)
{
    post(m_world.clock.randomBetween(0ms, 3ms), "checks its lease to provision", [this, effect, answer](daemon_incarnation &) {
        if (now() >= effect.validUntil) {
            answer(delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent});
            return;
        }
        m_environment.platform.order(m_id, effect.order, [answer, op = effect.op](delivery_event event) {
            event.op = op;
            answer(event);
        });
    });
}

void virtual_daemon::performEffect(const send_usage_effect &effect, const std::function<void(control_event)> &answer)
{
    post(m_world.clock.randomBetween(0ms, 3ms), "checks its lease to report", [this, effect, answer](daemon_incarnation &) {
        if (now() >= effect.validUntil) {
            answer(delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent});
            return;
        }
        m_environment.platform.report(m_id, effect.report, [answer, op = effect.op](delivery_outcome outcome) {
            answer(delivery_event{.op = op, .outcome = outcome});
        });
    });
}

void virtual_daemon::performEffect(const list_instances_effect &effect, const std::function<void(control_event)> &answer)
{
    answer(instances_event{.op = effect.op, .result = m_environment.platform.instances()});
}

// Shutdown sequence of a node: open requests end, usage batches are written, pending effects are answered, the leases are released.
void virtual_daemon::advanceShutdown(daemon_incarnation &incarnation)
{
    const bool idle = incarnation.requests.empty() && incarnation.batches.idle();
    if (!incarnation.releasingLeases && (idle || m_world.broken == broken_mechanism::DrainWait)) {
        incarnation.releasingLeases = true;
        incarnation.leaseReleaseStartedAt = now();
    }
    if (incarnation.releasingLeases && !incarnation.leasesReleased && incarnation.pendingEffects == 0) {
        incarnation.leasesReleased = true;
        std::size_t index = 0;
        for (auto &[duty, lease] : incarnation.leases) {
            std::vector<control_effect> effects;
            lease->release(now(), effects);
            perform(incarnation, index++, effects);
        }
    }
    const bool done = incarnation.leasesReleased && std::ranges::all_of(incarnation.leases, [](const auto &item) {
                          return item.second->released();
                      });
    if (done || (incarnation.releasingLeases && now() >= incarnation.leaseReleaseStartedAt + leaseReleaseTimeout)) {
        m_world.observer.checkShutdown(m_id, incarnation.requests.size());
        m_world.clock.record(m_id + " stops");
        discardIncarnation();
    }
}

}
