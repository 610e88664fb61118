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

/// How the store treats the next commits.
enum class commit_fault {
    None,
    Unavailable,
    LostBeforeEffect,
    LostAfterEffect
};

/// Performs control effects against a memory table on a virtual clock. Orders and reports are recorded and answered by a function.
class control_harness
{
public:
    explicit control_harness(std::shared_ptr<memory_table> table)
        : m_table(std::move(table))
    {
    }

    instant now{std::chrono::hours(1)};
    std::deque<commit_fault> commitFaults; ///< Applied to the next commits, in order.
    bool storeDown = false;
    std::vector<endpoint_order> orders;
    std::vector<provision_order> provisions;
    std::vector<usage_report> reports;
    std::function<delivery()> answer = [] {
        return delivery::Accepted;
    };

    /// Ticks a machine and answers its effects until it asks for nothing more.
    template <typename Machine>
    void run(Machine &machine)
    {
        std::vector<control_effect> effects;
        machine.handle(tick_event{}, now, effects);
        while (!effects.empty()) {
            for (const auto &effect : std::exchange(effects, {})) {
                machine.handle(perform(effect), now, effects);
            }
        }
    }

    /// Ticks a machine every 100 ms of virtual time.
    template <typename Machine>
    void runFor(Machine &machine, duration length)
    {
        for (const instant end = now + length; now < end; now += std::chrono::milliseconds(100)) {
            run(machine);
        }
    }

    control_event perform(const control_effect &effect)
    {
        return std::visit(
            [this](const auto &wanted) {
                return answerTo(wanted);
            },
            effect);
    }

private:
    control_event answerTo(const read_row_effect &effect)
    {
        return row_read_event{.op = effect.op, .result = storeDown ? absl::UnavailableError("store down") : m_table->read(effect.key)};
    }

    control_event answerTo(const scan_rows_effect &effect)
    {
        return rows_scanned_event{.op = effect.op, .result = storeDown ? absl::UnavailableError("store down") : m_table->scan(effect.prefix, 100000, {})};
    }

    control_event answerTo(const commit_effect &effect)
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

    control_event answerTo(const send_order_effect &effect)
    {
        if (now >= effect.validUntil) {
            return delivery_event{.op = effect.op, .outcome = delivery::NotSent};
        }
        orders.push_back(effect.order);
        return delivery_event{.op = effect.op, .outcome = answer()};
    }

    control_event answerTo(const send_provision_effect &effect)
    {
        if (now >= effect.validUntil) {
            return delivery_event{.op = effect.op, .outcome = delivery::NotSent};
        }
        provisions.push_back(effect.order);
        return delivery_event{.op = effect.op, .outcome = answer(), .endpoints = {"granted-1"}};
    }

    control_event answerTo(const send_usage_effect &effect)
    {
        if (now >= effect.validUntil) {
            return delivery_event{.op = effect.op, .outcome = delivery::NotSent};
        }
        reports.push_back(effect.report);
        return delivery_event{.op = effect.op, .outcome = answer()};
    }

    control_event answerTo(const list_instances_effect &effect)
    {
        return instances_event{.op = effect.op, .result = std::vector<instance_info>()};
    }

    std::shared_ptr<memory_table> m_table;
};

/// Counts violations instead of ending the process.
class violation_counter
{
public:
    violation_counter()
        : m_former(setInvariantHandler([this](invariant which, std::string_view detail) {
            violations.emplace_back(which, std::string(detail));
        }))
    {
    }
    ~violation_counter()
    {
        setInvariantHandler(m_former);
    }
    violation_counter(const violation_counter &) = delete;
    violation_counter &operator=(const violation_counter &) = delete;

    std::vector<std::pair<invariant, std::string>> violations;

private:
    invariant_handler m_former;
};

}
