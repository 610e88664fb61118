#pragma once

#include "coordination/decision_ring.h"
#include "protocol/decisions.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace lacewinglock
{

/// Writes one JSON line per decision. Thread-safe.
class decision_log
{
public:
    /// An empty path writes to standard error. Records also go to the ring of recent ones, if there is one; it must outlive the log.
    explicit decision_log(const std::string &path, decision_ring *recent = nullptr);
    ~decision_log();
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;

    void write(const decision_record &record);

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
    bool m_owned = false;
    decision_ring *m_recent = nullptr;
};

}
