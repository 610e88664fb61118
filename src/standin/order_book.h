#pragma once

#include "standin/fault_board.h"

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

/// Orders that a fake engine received, its role, and its fencing check. Thread-safe.
class order_book
{
public:
    order_book(std::string role, std::string model, std::chrono::milliseconds changeTime);

    /// Handles the body of POST /orders and returns the status to answer. Without `checkFencing` every order is taken.
    int take(const nlohmann::json &body, bool checkFencing);

    /// Whether a role or model change is under way.
    bool changing() const;
    /// Rises with each change that was started; a stream that began before it is cut.
    std::uint64_t changes() const;
    /// Role, changing_role, model, order_revision and order_epoch as in GET /load.
    nlohmann::json status() const;
    /// Every order received, with `conflicts` counting taken ones that contradict another order of the same revision or that arrived while
    /// a different one was being carried out.
    nlohmann::json report() const;

private:
    bool isOlder(std::uint64_t fencing, std::uint64_t revision, const nlohmann::json &content) const;
    void apply(const nlohmann::json &content);

    mutable std::mutex m_mutex;
    std::string m_role;
    std::string m_model;
    std::chrono::milliseconds m_changeTime;
    fake_clock::time_point m_changingUntil;
    std::uint64_t m_changes = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    nlohmann::json m_lastContent;
    nlohmann::json m_orders = nlohmann::json::array();
    int m_conflicts = 0;
};

}
