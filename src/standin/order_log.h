#pragma once

#include "standin/fault_registry.h"

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Orders received by a fake engine, with its fencing check and the role and model that result. Thread-safe.
class order_log
{
public:
    order_log(std::string role, std::string model, std::chrono::milliseconds roleChangeTime);

    /// Handles the body of POST /orders and returns the HTTP status of the response: 409 for a stale order, else 200. Without
    /// `checkFencing` every order is accepted.
    int handleOrder(const nlohmann::json &body, bool checkFencing);

    /// Whether a role or model change is in progress.
    bool isChanging() const;
    /// Number of role and model changes started so far; each aborts the attempts that were running.
    std::uint64_t changeCount() const;
    /// The fields role, changing_role, model, order_revision and order_epoch of GET /load.
    nlohmann::json status() const;
    /// All orders received. `conflicts` counts the accepted ones whose content differs from the previous accepted order, if their revision
    /// is not higher than its revision or its change was still in progress.
    nlohmann::json report() const;

private:
    bool isStale(std::uint64_t fencing, std::uint64_t revision, const nlohmann::json &content) const;
    void apply(const nlohmann::json &content);

    mutable std::mutex m_mutex;
    std::string m_role;
    std::string m_model;
    std::chrono::milliseconds m_roleChangeTime;
    fake_clock::time_point m_changingUntil;
    std::uint64_t m_changeCount = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    nlohmann::json m_lastContent;
    nlohmann::json m_orders = nlohmann::json::array();
    int m_conflicts = 0;
};

}
