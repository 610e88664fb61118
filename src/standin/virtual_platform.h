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

/// What happens to the next commit.
enum class answer_loss {
    BeforeEffect,
    AfterEffect
};

/// The platform on the virtual clock: table service, instance list, endpoint orders and usage reports.
class virtual_platform
{
public:
    explicit virtual_platform(virtual_world &world);

    void read(const std::string &client, const std::string &key, const std::function<void(absl::StatusOr<std::optional<row>>)> &done);
    void scan(const std::string &client, const std::string &prefix, const std::function<void(absl::StatusOr<std::vector<row>>)> &done);
    void commit(const std::string &client, const transaction &change, const std::function<void(commit_outcome)> &done);
    void order(const std::string &client, const provision_order &order, const std::function<void(delivery_event)> &done);
    void report(const std::string &client, const usage_report &report, const std::function<void(delivery)> &done);

    /// Effect of a commit at once, with the faults that apply to it.
    commit_outcome commitNow(const std::string &client, const transaction &change);
    memory_table &table();

    void setDown(bool down);
    void setSlow(duration longest); ///< Calls take up to this long; above the client's timeout the answer is lost.
    void loseAnswers(int count, answer_loss loss);

    void setInstance(const instance_info &info);
    void removeInstance(const std::string &id);
    void freezeInstances(bool frozen);
    std::vector<instance_info> instances() const;

private:
    duration travel();
    bool reachable(const std::string &client) const;
    void recordInstances();

    virtual_world &m_world;
    memory_table m_table;
    bool m_down = false;
    duration m_slow{0};
    std::deque<answer_loss> m_losses;
    bool m_instancesFrozen = false;
    std::map<std::string, instance_info> m_live;
    std::vector<instance_info> m_listed;
    std::map<std::string, std::vector<std::string>> m_granted; ///< By token.
};

}
