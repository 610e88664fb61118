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
constexpr auto handOverLimit = 8s;
constexpr int ticksPerSecond = 10;

}

daemon_life::daemon_life(const std::string &daemonId, std::string life)
    : incarnation(std::move(life))
    , roster(cellName, daemonId)
    , orders(cellName)
    , provision(cellName)
    , windows(cellName)
    , batches(cellName, daemonId, incarnation, usage)
{
}

virtual_daemon::virtual_daemon(virtual_surroundings &around, std::string id, std::string failureDomain)
    : m_around(around)
    , m_world(around.world)
    , m_id(std::move(id))
    , m_failureDomain(std::move(failureDomain))
{
}

void virtual_daemon::start()
{
    if (m_life) {
        return;
    }
    m_clockOffset = m_world.clock.between(0s, 1h);
    m_wallSkew = m_world.clock.between(0s, 400ms);
    m_pausedUntil = {};
    m_ticks = 0;
    m_life = std::make_shared<daemon_life>(m_id, m_id + "run" + std::to_string(++m_starts));
    m_life->startedAt = now();
    buildMachines(*m_life);
    m_life->usage.setReplicate([this](const usage_record &record) {
        return replicate(*m_life, record);
    });
    m_life->usage.setRelease([this](const std::vector<std::string> &ids) {
        releaseUsage(*m_life, ids);
    });
    m_around.platform.setInstance({.id = m_id, .failureDomain = m_failureDomain});
    m_world.clock.note(m_id + " starts");
    post(m_world.clock.between(0s, tunables::controlTick), "tick", [this](daemon_life &life) {
        tick(life);
    });
}

// The callers' connections break, and so do the connections to the endpoints.
void virtual_daemon::end()
{
    const auto life = std::exchange(m_life, nullptr);
    m_around.platform.removeInstance(m_id);
    for (const auto &[id, open] : life->requests) {
        if (!open->attemptId.empty()) {
            m_around.endpoints.at(open->endpoint)->cancel(open->attemptId);
        }
        endCall(open->call, "lost", "");
    }
}

void virtual_daemon::kill()
{
    if (m_life) {
        m_world.clock.note(m_id + " is killed");
        end();
    }
}

void virtual_daemon::pause(duration length)
{
    m_world.clock.note(m_id + " is paused for " + std::to_string(toMs(length)) + " ms");
    m_pausedUntil = std::max(m_pausedUntil, m_world.clock.now() + length);
    m_world.clock.after(length, m_id + " resumes", [this] {
        if (m_life && !paused()) {
            for (const auto &action : std::exchange(m_life->waiting, {})) {
                action();
            }
        }
    });
}

void virtual_daemon::shutDown()
{
    if (!m_life || m_life->refusing) {
        return;
    }
    m_world.clock.note(m_id + " drains");
    m_around.platform.setInstance({.id = m_id, .failureDomain = m_failureDomain, .leaving = true});
    post(tunables::drainGrace, "refuses new requests", [](daemon_life &life) {
        life.refusing = true;
    });
}

void virtual_daemon::stallOrders(duration length)
{
    m_world.clock.note(m_id + " stalls between lease check and order");
    m_orderStall = length;
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
    return m_life != nullptr;
}

bool virtual_daemon::paused() const
{
    return m_world.clock.now() < m_pausedUntil;
}

daemon_life *virtual_daemon::life() const
{
    return m_life.get();
}

instant virtual_daemon::now() const
{
    return m_world.clock.now() + m_clockOffset;
}

bool virtual_daemon::holds(const std::string &duty) const
{
    return m_life && m_life->leases.at(duty)->grant(now()).has_value();
}

void virtual_daemon::run(const std::weak_ptr<daemon_life> &owner, const life_action &action)
{
    const auto life = owner.lock();
    if (!life || life != m_life) {
        return;
    }
    if (paused()) {
        life->waiting.push_back([this, owner, action] {
            run(owner, action);
        });
        return;
    }
    action(*life);
}

void virtual_daemon::post(duration delay, const std::string &label, life_action action)
{
    m_world.clock.after(delay, m_id + " " + label, [this, owner = std::weak_ptr(m_life), action = std::move(action)] {
        run(owner, action);
    });
}

template <typename Machine>
void virtual_daemon::addMachine(daemon_life &life, const std::string &name, Machine &target, const lease_keeper *lease)
{
    life.machines.push_back({.name = name, .handle = [&life, &target, lease](const auto &event, instant at, auto &out) {
                                 if constexpr (requires { target.setGrant(std::optional<lease_grant>()); }) {
                                     target.setGrant(life.handingOver ? std::nullopt : lease->grant(at));
                                 }
                                 target.handle(event, at, out);
                             }});
}

// Leases come first, in the order of their names, because a shutdown releases them by index.
void virtual_daemon::buildMachines(daemon_life &life)
{
    for (const char *duty : {"orders", "provision", "roster", "usage"}) {
        auto &lease = life.leases[duty] = std::make_unique<lease_keeper>(cellName, duty, m_id + "/" + life.incarnation);
        addMachine(life, duty, *lease, nullptr);
    }
    addMachine(life, "roster rows", life.roster, life.leases.at("roster").get());
    addMachine(life, "order rows", life.orders, life.leases.at("orders").get());
    addMachine(life, "provision rows", life.provision, life.leases.at("provision").get());
    addMachine(life, "windows", life.windows, life.leases.at("usage").get());
    addMachine(life, "batches", life.batches, nullptr);
    addMachine(life, "configuration", life.follower, nullptr);
}

void virtual_daemon::tick(daemon_life &life)
{
    const auto wall
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>((m_world.clock.now() + m_wallSkew).time_since_epoch()).count());
    const window_clock window{.current = wall / windowSeconds, .firstNotClosable = (wall - graceSeconds) / windowSeconds};
    life.windows.setWindow(window);
    life.batches.setWindow(window);
    if (life.refusing) {
        life.batches.flushSoon();
    }
    for (std::size_t index = 0; index < life.machines.size(); ++index) {
        deliver(life, index, tick_event{});
    }
    if (m_ticks++ % ticksPerSecond == 0) {
        everySecond(life);
    }
    pollEndpoints(life);
    noteVersion(life);
    tickRequests(life);
    post(tunables::controlTick, "tick", [this](daemon_life &same) {
        tick(same);
    });
    if (life.refusing) {
        advanceShutdown(life);
    }
}

void virtual_daemon::everySecond(daemon_life &life)
{
    const auto &members = life.roster.roster().members;
    for (auto &[duty, lease] : life.leases) {
        lease->setRank(rendezvousRank(duty, m_id, members));
    }
    life.endpoints.configure(life.config.current()->parsed);
    life.follower.setRoster(members, m_id);
    passReports(life);
    sendHeartbeats(life);
    adoptUsage(life);
    if (m_world.reaches(m_id, storeName)) {
        post(5ms, "lists instances", [this](daemon_life &same) {
            same.roster.setInstances(m_around.platform.instances());
        });
    }
}

void virtual_daemon::noteVersion(daemon_life &life)
{
    const auto current = life.config.current();
    const std::uint64_t version = current->parsed.version;
    if (version != life.versionSeen) {
        const std::string text = current->document.dump();
        m_world.observer.noteInstalled(m_id, life.versionSeen, version, XXH3_64bits(text.data(), text.size()));
        life.versionSeen = version;
    }
}

void virtual_daemon::deliver(daemon_life &life, std::size_t index, const control_event &event)
{
    std::vector<control_effect> effects;
    life.machines[index].handle(event, now(), effects);
    perform(life, index, effects);
}

void virtual_daemon::perform(daemon_life &life, std::size_t index, std::vector<control_effect> &effects)
{
    for (const auto &effect : effects) {
        life.effectsInFlight += index >= life.leases.size() ? 1 : 0;
        std::visit(
            [&](const auto &typed) {
                performOne(typed, answerer(index));
            },
            effect);
    }
}

// Answers reach only the life that asked.
std::function<void(control_event)> virtual_daemon::answerer(std::size_t index)
{
    return [this, index, owner = std::weak_ptr(m_life)](const control_event &event) {
        run(owner, [this, index, event](daemon_life &life) {
            life.effectsInFlight -= index >= life.leases.size() ? 1 : 0;
            deliver(life, index, event);
        });
    };
}

void virtual_daemon::performOne(const read_row_effect &effect, const std::function<void(control_event)> &answer)
{
    m_around.platform.read(m_id, effect.key, [answer, op = effect.op](const auto &result) {
        answer(row_read_event{.op = op, .result = result});
    });
}

void virtual_daemon::performOne(const scan_rows_effect &effect, const std::function<void(control_event)> &answer)
{
    m_around.platform.scan(m_id, effect.prefix, [answer, op = effect.op](const auto &result) {
        answer(rows_scanned_event{.op = op, .result = result});
    });
}

void virtual_daemon::performOne(const commit_effect &effect, const std::function<void(control_event)> &answer)
{
    m_around.platform.commit(m_id, effect.change, [answer, op = effect.op](commit_outcome outcome) {
        answer(commit_event{.op = op, .outcome = outcome});
    });
}

// The check of the lease is the last step of this process before the write.
void virtual_daemon::performOne(const send_order_effect &effect, const std::function<void(control_event)> &answer)
{
    post(m_world.clock.between(0ms, 3ms), "checks its lease for an order", [this, effect, answer](daemon_life &) {
        if (now() >= effect.validUntil) {
            answer(delivery_event{.op = effect.op, .outcome = delivery::NotSent});
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
    const duration delay = std::exchange(m_orderStall, duration(0)) + m_world.clock.between(1ms, tunables::orderSendDeadline);
    m_world.clock.after(delay, m_id + " order reaches " + sent.endpoint, [this, sent, op, answer] {
        const auto found = m_around.endpoints.find(sent.endpoint);
        const auto taken = found == m_around.endpoints.end() ? std::nullopt : found->second->takeOrder(sent);
        const bool lost = m_world.clock.chance(0.2);
        m_world.clock.after(3ms, m_id + " order answered", [taken, lost, op, answer] {
            answer(delivery_event{.op = op, .outcome = lost ? delivery::Unknown : taken.value_or(delivery::NotSent)});
        });
    });
}

void virtual_daemon::performOne(const send_provision_effect &effect, const std::function<void(control_event)> &answer)
{
    post(m_world.clock.between(0ms, 3ms), "checks its lease to provision", [this, effect, answer](daemon_life &) {
        if (now() >= effect.validUntil) {
            answer(delivery_event{.op = effect.op, .outcome = delivery::NotSent});
            return;
        }
        m_around.platform.order(m_id, effect.order, [answer, op = effect.op](delivery_event event) {
            event.op = op;
            answer(event);
        });
    });
}

void virtual_daemon::performOne(const send_usage_effect &effect, const std::function<void(control_event)> &answer)
{
    post(m_world.clock.between(0ms, 3ms), "checks its lease to report", [this, effect, answer](daemon_life &) {
        if (now() >= effect.validUntil) {
            answer(delivery_event{.op = effect.op, .outcome = delivery::NotSent});
            return;
        }
        m_around.platform.report(m_id, effect.report, [answer, op = effect.op](delivery outcome) {
            answer(delivery_event{.op = op, .outcome = outcome});
        });
    });
}

void virtual_daemon::performOne(const list_instances_effect &effect, const std::function<void(control_event)> &answer)
{
    answer(instances_event{.op = effect.op, .result = m_around.platform.instances()});
}

// Steps of the node's shutdown: open requests end, usage is written, the last effect is answered, the leases are handed over.
void virtual_daemon::advanceShutdown(daemon_life &life)
{
    const bool idle = life.requests.empty() && life.batches.idle();
    if (!life.handingOver && (idle || m_world.broken == broken_mechanism::DrainWait)) {
        life.handingOver = true;
        life.handOverAt = now();
    }
    if (life.handingOver && !life.released && life.effectsInFlight == 0) {
        life.released = true;
        std::size_t index = 0;
        for (auto &[duty, lease] : life.leases) {
            std::vector<control_effect> effects;
            lease->release(now(), effects);
            perform(life, index++, effects);
        }
    }
    const bool done = life.released && std::ranges::all_of(life.leases, [](const auto &item) {
                          return item.second->released();
                      });
    if (done || (life.handingOver && now() >= life.handOverAt + handOverLimit)) {
        m_world.observer.noteStopped(m_id, life.requests.size());
        m_world.clock.note(m_id + " stops");
        end();
    }
}

}
