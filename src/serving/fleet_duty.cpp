#include "serving/fleet_duty.h"

#include "serving/fleet_plan.h"
#include "transport/boot_clock.h"
#include "transport/spawn.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr auto planInterval = std::chrono::milliseconds(500); // An eighth of the start time of an ordered engine.
constexpr auto peakWindow = std::chrono::seconds(60); // Engines are released when no burst within this time needed them.
constexpr auto meanWindow = std::chrono::seconds(15);
constexpr auto warmUpTime = std::chrono::seconds(30); // After a start the demand history is empty, so the fleet is kept at its maximum size.
constexpr auto unavailableBackoff = std::chrono::seconds(4); // Wait before reclaimable engines are ordered again in a domain that had none.
constexpr auto orderRepeatInterval = std::chrono::seconds(10); // An order without visible effect is repeated.

constexpr double queueSampleWeight = 0.06; // Weight of one sample: the average covers about eight seconds, longer than one burst of long or short prompts.
constexpr double idleQueueMs = 100; // Below this no role lacks engines.
constexpr auto announceTime = std::chrono::milliseconds(200); // Several summaries, which announce the reserved engine to all daemons.
constexpr auto roleChangeTimeout = std::chrono::seconds(10); // Three times the duration of a role change, so that running requests can end first.
constexpr int stepDivisor = 3; // At most the maximum per domain divided by this is replaced at once.
constexpr int unknownCount = -2; // It is unknown whether the platform received the last order.

/// The last order for one kind of engine (ordinary or reclaimable) in one domain.
struct placed_order
{
    int count = -1;
    instant at;
};

/// Planning state of one service.
struct service_plan
{
    std::deque<std::pair<instant, double>> demandSamples; ///< Samples of the demand, in engines.
    std::map<std::pair<std::string, bool>, placed_order> orders; ///< By domain and whether reclaimable.
    std::map<std::string, instant> unavailableUntil; ///< Domains without available reclaimable engines, and when to order there again.
    double prefillQueueMs = 0; ///< Prefill queued at all prefill engines, moving average.
    double decodeQueueMs = 0; ///< Prefill queued at all other engines, moving average.
    instant roleChangedAt;
    bool changingRole = false;
    std::map<std::string, int> reclaimable; ///< Running reclaimable engines by domain, at the previous interval.
};

/// Work queued or running at the engines of a service.
struct engine_work
{
    double prefillQueueMs = 0; ///< Prefill queued at all prefill engines.
    double decodeQueueMs = 0; ///< Prefill queued at all other engines.
    int busy = 0; ///< Engines with at least one running request.
};

// Demand in engines. Queued prefill counts the same at engines of any role, since placement sends it to whichever is free.
double estimateDemand(const engine_work &work)
{
    // Prefill of 100 ms occupies one engine for a fifth of a plan interval, and several such bursts arrive in each interval.
    constexpr double queueMsPerEngine = 100;
    return std::max(work.busy * 0.5, (work.prefillQueueMs + work.decodeQueueMs) / queueMsPerEngine);
}

class engine_planner : public std::enable_shared_from_this<engine_planner>
{
public:
    engine_planner(edge_context &context, lease_runner &lease)
        : m_context(context)
        , m_lease(lease)
        , m_startedAt(bootNow())
    {
    }

    task<void> run();

private:
    static bool isUnavailable(const service_plan &plan, const std::string &domain);
    engine_work measureWork(const std::string &service) const;
    fleet_input makeInput(const serving_service &service, service_plan &plan) const;
    task<void> planService(const serving_service &service);
    task<void> planRoles(std::string service);
    /// `self` keeps the planner while the coroutine runs, which may outlast run().
    task<void> changeRole(std::shared_ptr<engine_planner> self, std::string service, role_change change);
    task<void> order(service_plan &plan, endpoint_count_order wanted, int running);

    edge_context &m_context;
    lease_runner &m_lease;
    instant m_startedAt;
    std::map<std::string, service_plan> m_plans;
};

engine_work engine_planner::measureWork(const std::string &service) const
{
    engine_work work;
    for (const auto &engine : m_context.endpoints.ofService(service)) {
        const auto role = engine->entry.role.value_or(endpoint_role::Mixed);
        const double tokens = engine->own.promptTokens + engine->peers.promptTokens;
        const int running = engine->own.running + engine->peers.running;
        const double ms = prefillMs(m_context.settings.engines, role, tokens, 0, running);
        (role == endpoint_role::Prefill ? work.prefillQueueMs : work.decodeQueueMs) += ms;
        work.busy += running > 0 ? 1 : 0;
    }
    return work;
}

bool engine_planner::isUnavailable(const service_plan &plan, const std::string &domain)
{
    const auto found = plan.unavailableUntil.find(domain);
    return found != plan.unavailableUntil.end() && bootNow() < found->second;
}

fleet_input engine_planner::makeInput(const serving_service &service, service_plan &plan) const
{
    const instant now = bootNow();
    const auto work = measureWork(service.name);
    plan.prefillQueueMs += queueSampleWeight * (work.prefillQueueMs - plan.prefillQueueMs);
    plan.decodeQueueMs += queueSampleWeight * (work.decodeQueueMs - plan.decodeQueueMs);
    plan.demandSamples.emplace_back(now, estimateDemand(work));
    while (now - plan.demandSamples.front().first > peakWindow) {
        plan.demandSamples.pop_front();
    }
    double peak = 0;
    double sum = 0;
    int recent = 0;
    for (const auto &[at, engines] : plan.demandSamples) {
        peak = std::max(peak, engines);
        if (now - at <= meanWindow) {
            sum += engines;
            ++recent;
        }
    }
    fleet_input input{
        .service = service.name,
        .peakDemandEngines = peak,
        .meanDemandEngines = recent > 0 ? sum / recent : 0,
        .minPerDomain = service.scaling->min,
        .maxPerDomain = service.scaling->max,
        .hasReclaimable = service.scaling->reclaimablePriceRatio < 1,
    };
    std::map<std::string, fleet_domain> domains;
    for (const auto &engine : m_context.endpoints.ofService(service.name)) {
        auto &domain = domains[engine->entry.failureDomain];
        domain.name = engine->entry.failureDomain;
        if (!engine->entry.draining) {
            ++(engine->entry.reclaimable ? domain.reclaimable : domain.ordinary);
        }
    }
    for (auto &[name, domain] : domains) {
        const auto price = service.scaling->domainPrices.find(name);
        domain.price = price == service.scaling->domainPrices.end() ? 1 : price->second;
        // All reclaimable engines left at once, so the platform reclaimed them. No others are available for a while.
        if (int &before = plan.reclaimable[name]; std::exchange(before, domain.reclaimable) > 1 && domain.reclaimable == 0) {
            plan.unavailableUntil[name] = now + unavailableBackoff;
            plan.orders[{name, true}].count = unknownCount;
        }
        domain.reclaimableAvailable = !isUnavailable(plan, name);
        input.domains.push_back(domain);
    }
    if (now - m_startedAt < warmUpTime) {
        input.peakDemandEngines = std::max<double>(input.peakDemandEngines, service.scaling->max * static_cast<double>(domains.size()));
    }
    return input;
}

task<void> engine_planner::order(service_plan &plan, endpoint_count_order wanted, int running)
{
    auto &last = plan.orders[{wanted.failureDomain, wanted.reclaimable}];
    const instant now = bootNow();
    const bool settled = last.count == wanted.count && (running == wanted.count || now - last.at < orderRepeatInterval);
    const bool alreadyRunning = last.count < 0 && running == wanted.count;
    if (settled || alreadyRunning) {
        last.count = wanted.count;
        co_return;
    }
    const auto authority = m_lease.authorize();
    if (!authority) {
        co_return;
    }
    last.at = now;
    const auto outcome = co_await m_context.platform.orders.orderEndpoints(*authority, wanted);
    auto line = m_context.line("engines_ordered");
    line.add("service", wanted.service).add("domain", wanted.failureDomain).add("count", wanted.count).add("reclaimable", wanted.reclaimable);
    line.add("running", running).add("epoch", authority->epoch).add("outcome", static_cast<int>(outcome));
    m_context.log.write(line);
    if (outcome == delivery_outcome::Accepted) {
        last.count = wanted.count;
    } else if (outcome == delivery_outcome::Fenced && wanted.reclaimable) {
        plan.unavailableUntil[wanted.failureDomain] = now + unavailableBackoff;
    } else {
        last.count = unknownCount;
    }
}

task<void> engine_planner::planService(const serving_service &service)
{
    auto &plan = m_plans[service.name];
    const auto input = makeInput(service, plan);
    const auto targets = planFleet(input);
    for (const auto &target : targets) {
        const auto domain = std::ranges::find(input.domains, target.domain, &fleet_domain::name);
        // Named variables, because g++ 12 destroys braced temporaries twice when they are arguments of an awaited call.
        const endpoint_count_order reclaimable{service.name, target.domain, target.reclaimable, true};
        co_await order(plan, reclaimable, domain->reclaimable);
        // Ordinary engines are released in steps as reclaimable ones replace them, so that the domain never loses more than one step at once.
        const int currentOrdinary = std::max(plan.orders[{target.domain, false}].count, domain->ordinary);
        const int step = std::max(1, input.maxPerDomain / stepDivisor);
        const int ordinaryNeeded = isUnavailable(plan, target.domain) ? currentOrdinary : input.maxPerDomain - domain->reclaimable - step;
        const int ordinaryCount = std::clamp(ordinaryNeeded, target.ordinary, std::max(target.ordinary, currentOrdinary));
        const endpoint_count_order ordinary{service.name, target.domain, ordinaryCount, false};
        co_await order(plan, ordinary, domain->ordinary);
    }
}

// Splits the engines between the roles in proportion to the prefill queued at each role.
task<void> engine_planner::planRoles(std::string service)
{
    auto &plan = m_plans[service];
    const instant now = bootNow();
    if (plan.changingRole || !m_lease.epoch()) {
        co_return;
    }
    role_plan_input input{
        .prefillDemand = plan.prefillQueueMs,
        .decodeDemand = plan.decodeQueueMs,
        .sinceLastChangeMs = toMs(now - std::max(plan.roleChangedAt, m_startedAt)),
    };
    for (const auto &engine : m_context.endpoints.ofService(service)) {
        if (!engine->entry.role || engine->entry.draining) {
            continue;
        }
        input.engines.push_back({
            .id = engine->entry.id,
            .domain = engine->entry.failureDomain,
            .role = *engine->entry.role,
            .running = engine->own.running + engine->peers.running,
            .available = engine->usable(now) && now >= engine->pausedUntil,
        });
    }
    const auto change = planRole(input);
    if (!change || plan.prefillQueueMs + plan.decodeQueueMs < idleQueueMs) {
        co_return;
    }
    plan.changingRole = true;
    plan.roleChangedAt = now;
    spawnDuty(m_context.loop, changeRole(shared_from_this(), std::move(service), *change), "change_role");
}

// Step 1: announce to all daemons that the engine gets no new requests. Step 2: send the order, unless the engine has accepted another one since.
// Step 3: wait until the engine lists itself with the new role.
task<void> engine_planner::changeRole(std::shared_ptr<engine_planner> /*self*/, std::string service, role_change change)
{
    auto &plan = m_plans[service];
    const auto engine = m_context.endpoints.find(change.id);
    if (!engine) {
        plan.changingRole = false;
        co_return;
    }
    m_context.reserved.push_back(engine->hash);
    engine->reservedUntil = bootNow() + roleChangeTimeout;
    co_await sleepFor(announceTime);
    const auto report = co_await m_context.platform.orders.fetchEngineReport(engine->entry);
    const bool possible = report.ok() && !report->busy && report->role != change.role;
    const auto authority = possible ? m_lease.authorize() : std::nullopt;
    delivery_outcome outcome = delivery_outcome::NotSent;
    if (authority) {
        outcome = co_await m_context.platform.orders.orderRole(*authority, engine->entry, report->acceptedOrders, change.role);
    }
    auto line = m_context.line("role_ordered");
    line.add("service", service).add("endpoint", change.id).add("role", static_cast<int>(change.role)).add("reason", change.reason);
    line.add("prompt_queue_ms", plan.prefillQueueMs).add("output_queue_ms", plan.decodeQueueMs).add("outcome", static_cast<int>(outcome));
    line.add("epoch", authority ? authority->epoch : 0).add("report", report.ok() ? "ok" : report.status().ToString());
    m_context.log.write(line);
    const bool mayTakeEffect = outcome == delivery_outcome::Accepted || outcome == delivery_outcome::Unknown;
    while (mayTakeEffect && bootNow() < engine->reservedUntil && !engine->entry.draining && engine->entry.role != change.role) {
        co_await sleepFor(planInterval);
    }
    engine->reservedUntil = bootNow();
    std::erase(m_context.reserved, engine->hash);
    plan.changingRole = false;
}

task<void> engine_planner::run()
{
    while (!m_context.stopping) {
        co_await sleepFor(planInterval);
        const auto configuration = m_context.configuration;
        if (!configuration || !m_context.endpointsListed) {
            continue;
        }
        for (const auto &[name, service] : configuration->services) {
            if (!service.scaling || !m_lease.epoch()) {
                continue;
            }
            co_await planService(service);
            co_await planRoles(name);
        }
    }
}

}

task<void> planEngines(edge_context &context, lease_runner &lease)
{
    const auto planner = std::make_shared<engine_planner>(context, lease);
    co_await planner->run();
}

}
