#pragma once

#include "coordination/decision_ring.h"
#include "protocol/decisions.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace lacewinglock
{

/// Appends one JSON line per decision to a file. Thread-safe.
class decision_log
{
public:
    /// Writes to standard error if the path is empty or the file cannot be opened. Records are also added to `recent`, if given; it must outlive
    /// the log.
    explicit decision_log(const std::string &path, decision_ring *recent = nullptr);
    ~decision_log();
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;

    void write(const decision_record &record);

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
    bool m_ownsFile = false;
    decision_ring *m_recent = nullptr;
};

}
