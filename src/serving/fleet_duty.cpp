#include "serving/fleet_duty.h"

#include "serving/fleet_plan.h"
#include "transport/boot_clock.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace lacewinglock
{

namespace
{

constexpr auto planInterval = std::chrono::milliseconds(500); // An eighth of the time that an ordered engine takes to start.
constexpr auto callMargin = std::chrono::milliseconds(1500); // The lease must outlive an order call.
constexpr auto peakHorizon = std::chrono::seconds(60); // Engines are given back when no burst of the last minute needed them.
constexpr auto meanHorizon = std::chrono::seconds(15);
constexpr auto learningTime = std::chrono::seconds(30); // Without a history, the fleet is sized for the most that may be ordered.
constexpr auto unavailableTime = std::chrono::seconds(4); // Before the cheaper kind is asked for again in a domain that had none.
constexpr auto repeatAfter = std::chrono::seconds(10); // An order that shows no effect is given again.

constexpr double queueWeight = 0.06; // Of one measurement: the average covers some eight seconds, longer than one burst of either kind.
constexpr double idleQueueMs = 100; // Below it no engine is short of anything.
constexpr auto announceTime = std::chrono::milliseconds(200); // Several summaries.
constexpr auto roleChangeLimit = std::chrono::seconds(10); // Three times what a change takes, for the work that ends before it.
constexpr int stepDivisor = 3; // Part of a domain's engines that may be on their way at once.
constexpr int unknownCount = -2; // The platform may or may not have the last order.

/// What was ordered last of one kind in one domain.
struct placed_order
{
    int count = -1;
    instant at;
};

struct service_plan
{
    std::deque<std::pair<instant, double>> engines; ///< Measured demand, in engines' worth.
    std::map<std::pair<std::string, bool>, placed_order> orders; ///< By domain and kind.
    std::map<std::string, instant> noneUntil; ///< Domains where the cheaper kind can't be had.
    double promptQueueMs = 0; ///< Reading that waits at all engines for prompts, moving average.
    double outputQueueMs = 0; ///< And at all engines for outputs.
    instant roleChangedAt;
    bool changingRole = false;
    std::map<std::string, int> reclaimable; ///< Running of the cheaper kind, by domain, as seen last.
};

/// Work under way at the engines of a service.
struct engine_work
{
    double promptQueueMs = 0; ///< Reading that waits at all engines for prompts.
    double outputQueueMs = 0; ///< And at all engines for outputs.
    int busy = 0; ///< Engines with a request.
};

// Work under way tells the demand whatever kind of engine it waits at: an engine whose queue is longer than a step counts as busy.
double demandOf(const engine_work &work)
{
    // Reading that would take one engine 100 ms keeps it busy for a plan interval's fifth; several such bursts come in each interval.
    constexpr double queueMsPerEngine = 100;
    return std::max(work.busy * 0.5, (work.promptQueueMs + work.outputQueueMs) / queueMsPerEngine);
}

class engine_planner
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
    task<void> changeRole(std::string service, engine_role_change change);
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
        const double ms = readingMs(m_context.settings.engines, role, tokens, 0, running);
        (role == endpoint_role::Prefill ? work.promptQueueMs : work.outputQueueMs) += ms;
        work.busy += running > 0 ? 1 : 0;
    }
    return work;
}

bool engine_planner::isUnavailable(const service_plan &plan, const std::string &domain)
{
    const auto none = plan.noneUntil.find(domain);
    return none != plan.noneUntil.end() && bootNow() < none->second;
}

fleet_input engine_planner::makeInput(const serving_service &service, service_plan &plan) const
{
    const instant now = bootNow();
    const auto work = measureWork(service.name);
    plan.promptQueueMs += queueWeight * (work.promptQueueMs - plan.promptQueueMs);
    plan.outputQueueMs += queueWeight * (work.outputQueueMs - plan.outputQueueMs);
    plan.engines.emplace_back(now, demandOf(work));
    while (now - plan.engines.front().first > peakHorizon) {
        plan.engines.pop_front();
    }
    double peak = 0;
    double sum = 0;
    int recent = 0;
    for (const auto &[at, engines] : plan.engines) {
        peak = std::max(peak, engines);
        if (now - at <= meanHorizon) {
            sum += engines;
            ++recent;
        }
    }
    fleet_input input{
        .service = service.name,
        .demandEngines = peak,
        .meanEngines = recent > 0 ? sum / recent : 0,
        .minPerDomain = service.scaling->min,
        .maxPerDomain = service.scaling->max,
        .hasReclaimable = service.scaling->reclaimablePrice < 1,
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
        // All of them leaving at once were taken back: others come after a while at the earliest.
        if (int &before = plan.reclaimable[name]; std::exchange(before, domain.reclaimable) > 1 && domain.reclaimable == 0) {
            plan.noneUntil[name] = now + unavailableTime;
            plan.orders[{name, true}].count = unknownCount;
        }
        domain.reclaimableAvailable = !isUnavailable(plan, name);
        input.domains.push_back(domain);
    }
    if (now - m_startedAt < learningTime) {
        input.demandEngines = std::max<double>(input.demandEngines, service.scaling->max * static_cast<double>(domains.size()));
    }
    return input;
}

task<void> engine_planner::order(service_plan &plan, endpoint_count_order wanted, int running)
{
    auto &last = plan.orders[{wanted.failureDomain, wanted.reclaimable}];
    const instant now = bootNow();
    const bool settled = last.count == wanted.count && (running == wanted.count || now - last.at < repeatAfter);
    const bool startsRight = last.count < 0 && running == wanted.count;
    if (settled || startsRight) {
        last.count = wanted.count;
        co_return;
    }
    const auto authority = m_lease.authority(callMargin);
    if (!authority) {
        co_return;
    }
    last.at = now;
    const auto outcome = co_await m_context.platform.orders.orderEndpoints(*authority, wanted);
    auto line = m_context.line("engines_ordered");
    line.add("service", wanted.service).add("domain", wanted.failureDomain).add("count", wanted.count).add("reclaimable", wanted.reclaimable);
    line.add("running", running).add("epoch", authority->epoch).add("outcome", static_cast<int>(outcome));
    m_context.log.write(line);
    if (outcome == delivery::Accepted) {
        last.count = wanted.count;
    } else if (outcome == delivery::Fenced && wanted.reclaimable) {
        plan.noneUntil[wanted.failureDomain] = now + unavailableTime;
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
        // Named variables: g++ 12 destroys braced temporaries twice when they are arguments of an awaited call.
        const endpoint_count_order reclaimable{service.name, target.domain, target.reclaimable, true};
        co_await order(plan, reclaimable, domain->reclaimable);
        // Ordinary engines go in steps, as engines of the cheaper kind take their places: the domain never loses more than a step at once.
        const int atHand = std::max(plan.orders[{target.domain, false}].count, domain->ordinary);
        const int step = std::max(1, input.maxPerDomain / stepDivisor);
        const int places = isUnavailable(plan, target.domain) ? atHand : input.maxPerDomain - domain->reclaimable - step;
        const int kept = std::clamp(places, target.ordinary, std::max(target.ordinary, atHand));
        const endpoint_count_order ordinary{service.name, target.domain, kept, false};
        co_await order(plan, ordinary, domain->ordinary);
    }
}

// Engines are shared out between the roles as the reading that waits at them is.
task<void> engine_planner::planRoles(std::string service)
{
    auto &plan = m_plans[service];
    const instant now = bootNow();
    if (plan.changingRole || !m_lease.authority(callMargin)) {
        co_return;
    }
    engine_role_input input{
        .promptEngines = plan.promptQueueMs,
        .outputEngines = plan.outputQueueMs,
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
            .available = engine->usable(now),
        });
    }
    const auto change = planRole(input);
    if (!change || plan.promptQueueMs + plan.outputQueueMs < idleQueueMs) {
        co_return;
    }
    plan.changingRole = true;
    plan.roleChangedAt = now;
    asio::co_spawn(m_context.loop, changeRole(std::move(service), *change), asio::detached);
}

// Step 1: all daemons hear that the engine gets no new work. Step 2: the order, if the engine has taken none meanwhile. Step 3: wait for the role.
task<void> engine_planner::changeRole(std::string service, engine_role_change change)
{
    auto &plan = m_plans[service];
    const auto engine = m_context.endpoints.find(change.id);
    if (!engine) {
        plan.changingRole = false;
        co_return;
    }
    m_context.reserved.push_back(engine->hash);
    engine->reservedUntil = bootNow() + roleChangeLimit;
    co_await sleepFor(announceTime);
    const auto report = co_await m_context.platform.orders.inspectEngine(engine->entry);
    const auto authority = m_lease.authority(callMargin);
    delivery outcome = delivery::NotSent;
    if (report.ok() && !report->busy && report->role != change.role && authority) {
        outcome = co_await m_context.platform.orders.orderRole(*authority, engine->entry, report->ordersTaken, change.role);
    }
    auto line = m_context.line("role_ordered");
    line.add("service", service).add("endpoint", change.id).add("role", static_cast<int>(change.role)).add("reason", change.reason);
    line.add("prompt_queue_ms", plan.promptQueueMs).add("output_queue_ms", plan.outputQueueMs).add("outcome", static_cast<int>(outcome));
    line.add("epoch", authority ? authority->epoch : 0).add("report", report.ok() ? "ok" : report.status().ToString());
    m_context.log.write(line);
    const bool mayCome = outcome == delivery::Accepted || outcome == delivery::Unknown;
    while (mayCome && bootNow() < engine->reservedUntil && !engine->entry.draining && engine->entry.role != change.role) {
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
            if (!service.scaling || !m_lease.authority(callMargin)) {
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
    engine_planner planner(context, lease);
    co_await planner.run();
}

}
