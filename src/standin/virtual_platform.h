#pragma once

#include "protocol/control.h"
#include "standin/virtual_world.h"
#include "state/table_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Whether a commit whose answer is lost takes effect.
enum class answer_loss {
    BeforeEffect,
    AfterEffect
};

/// The simulated platform on the virtual clock: table service, instance list, provision orders and usage reports. `client` is the id of the
/// calling daemon; answers arrive as virtual-clock events.
class virtual_platform
{
public:
    explicit virtual_platform(virtual_world &world);

    void read(const std::string &client, const std::string &key, const std::function<void(absl::StatusOr<std::optional<row>>)> &done);
    void scan(const std::string &client, const std::string &prefix, const std::function<void(absl::StatusOr<std::vector<row>>)> &done);
    void commit(const std::string &client, const transaction &change, const std::function<void(commit_outcome)> &done);
    void order(const std::string &client, const provision_order &order, const std::function<void(delivery_event)> &done);
    void report(const std::string &client, const usage_report &report, const std::function<void(delivery_outcome)> &done);

    /// Commits at once, without latency, but with lost answers and disabled conditions applied.
    commit_outcome commitNow(const std::string &client, const transaction &change);
    memory_table &table();

    void setDown(bool down);
    void setSlow(duration longest); ///< Upper bound of the one-way latency; 0 ends the fault. Answers after the client's timeout are lost.
    /// Loses the answers to the next `count` commits.
    void loseAnswers(int count, answer_loss loss);

    void setInstance(const instance_info &info);
    void removeInstance(const std::string &id);
    /// While frozen, the instance list is not updated.
    void freezeInstances(bool frozen);
    std::vector<instance_info> instances() const;

private:
    duration randomLatency();
    bool reachable(const std::string &client) const;
    void scheduleInstanceListUpdate();

    virtual_world &m_world;
    memory_table m_table;
    bool m_down = false;
    duration m_maxSlowLatency{0};
    std::deque<answer_loss> m_pendingAnswerLosses;
    bool m_instancesFrozen = false;
    std::map<std::string, instance_info> m_liveInstances;
    std::vector<instance_info> m_listedInstances;
    std::map<std::string, std::vector<std::string>> m_endpointsByToken; ///< Ids of granted endpoints by token.
};

}
