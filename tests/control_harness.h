#pragma once

#include "protocol/control.h"
#include "protocol/invariant.h"
#include "state/table_store.h"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// Faults of the store that a test injects into commits.
enum class commit_fault {
    None,
    Unavailable, ///< The outcome is Unavailable and the commit had no effect.
    LostBeforeEffect, ///< The outcome is Unknown and the commit had no effect.
    LostAfterEffect ///< The outcome is Unknown and the commit took effect.
};

/// Executes control effects on a table in memory with a virtual clock. Orders and reports are recorded, and `deliveryOutcome` sets their
/// outcome.
class control_harness
{
public:
    explicit control_harness(std::shared_ptr<memory_table> table)
        : m_table(std::move(table))
    {
    }

    instant now{std::chrono::hours(1)};
    std::deque<commit_fault> commitFaults; ///< Faults of the next commits, in order.
    bool storeDown = false;
    std::vector<endpoint_order> orders;
    std::vector<provision_order> provisions;
    std::vector<usage_report> reports;
    std::function<delivery_outcome()> deliveryOutcome = [] {
        return delivery_outcome::Accepted;
    };

    /// Ticks a state machine and executes its effects until it requests no more.
    template <typename StateMachine>
    void run(StateMachine &stateMachine)
    {
        std::vector<control_effect> effects;
        stateMachine.handle(tick_event{}, now, effects);
        while (!effects.empty()) {
            for (const auto &effect : std::exchange(effects, {})) {
                stateMachine.handle(perform(effect), now, effects);
            }
        }
    }

    /// Ticks a state machine every 100 ms of virtual time.
    template <typename StateMachine>
    void runFor(StateMachine &stateMachine, duration length)
    {
        for (const instant end = now + length; now < end; now += std::chrono::milliseconds(100)) {
            run(stateMachine);
        }
    }

    control_event perform(const control_effect &effect)
    {
        return std::visit(
            [this](const auto &typedEffect) {
                return execute(typedEffect);
            },
            effect);
    }

private:
    control_event execute(const read_row_effect &effect)
    {
        return row_read_event{.op = effect.op, .result = storeDown ? absl::UnavailableError("store down") : m_table->read(effect.key)};
    }

    control_event execute(const scan_rows_effect &effect)
    {
        return rows_scanned_event{.op = effect.op, .result = storeDown ? absl::UnavailableError("store down") : m_table->scan(effect.prefix, 100000, {})};
    }

    control_event execute(const commit_effect &effect)
    {
        commit_fault fault = storeDown ? commit_fault::Unavailable : commit_fault::None;
        if (!commitFaults.empty()) {
            fault = commitFaults.front();
            commitFaults.pop_front();
        }
        switch (fault) {
        case commit_fault::Unavailable:
            return commit_event{.op = effect.op, .outcome = commit_outcome::Unavailable};
        case commit_fault::LostBeforeEffect:
            return commit_event{.op = effect.op, .outcome = commit_outcome::Unknown};
        case commit_fault::LostAfterEffect:
            m_table->commit(effect.change);
            return commit_event{.op = effect.op, .outcome = commit_outcome::Unknown};
        case commit_fault::None:
            break;
        }
        return commit_event{.op = effect.op, .outcome = m_table->commit(effect.change)};
    }

    control_event execute(const send_order_effect &effect)
    {
        if (now >= effect.validUntil) {
            return delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent};
        }
        orders.push_back(effect.order);
        return delivery_event{.op = effect.op, .outcome = deliveryOutcome()};
    }

    control_event execute(const send_provision_effect &effect)
    {
        if (now >= effect.validUntil) {
            return delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent};
        }
        provisions.push_back(effect.order);
        return delivery_event{.op = effect.op, .outcome = deliveryOutcome(), .endpoints = {"granted-1"}};
    }

    control_event execute(const send_usage_effect &effect)
    {
        if (now >= effect.validUntil) {
            return delivery_event{.op = effect.op, .outcome = delivery_outcome::NotSent};
        }
        reports.push_back(effect.report);
        return delivery_event{.op = effect.op, .outcome = deliveryOutcome()};
    }

    control_event execute(const list_instances_effect &effect)
    {
        return instances_event{.op = effect.op, .result = std::vector<instance_info>()};
    }

    std::shared_ptr<memory_table> m_table;
};

/// Records invariant violations instead of ending the process.
class violation_recorder
{
public:
    violation_recorder()
        : m_previousHandler(setInvariantHandler([this](invariant which, std::string_view detail) {
            violations.emplace_back(which, std::string(detail));
        }))
    {
    }
    ~violation_recorder()
    {
        setInvariantHandler(m_previousHandler);
    }
    violation_recorder(const violation_recorder &) = delete;
    violation_recorder &operator=(const violation_recorder &) = delete;

    std::vector<std::pair<invariant, std::string>> violations;

private:
    invariant_handler m_previousHandler;
};

}
