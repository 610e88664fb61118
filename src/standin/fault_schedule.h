#pragma once

#include "standin/virtual_cell.h"

#include <cstdint>

namespace lacewinglock
{

/// Generates requests, operator actions and faults at random times from the seeded generator of the cell. Faults can overlap.
class fault_schedule
{
public:
    explicit fault_schedule(virtual_cell &cell);

    /// Runs the cell under faults for `length`, then removes all faults, starts all daemons and runs it for a recovery period.
    void run(duration length);

private:
    void scheduleCalls();
    void scheduleFaults();
    void schedulePlannedChanges();
    void injectFault();
    void injectDaemonFault(const std::string &id);
    void injectNetworkFault();
    void injectStoreFault();
    void injectEndpointFault();
    void runOperatorAction();
    std::string randomDaemon();
    std::string randomEngine();
    duration randomSeconds(double low, double high);

    virtual_cell &m_cell;
    virtual_clock &m_clock;
    bool m_active = true;
    int m_bookingCount = 0;
    int m_poisonCount = 0;
    int m_nextKey = 100;
    std::vector<std::string> m_keys{"k1", "k2", "k3", "k4"}; ///< Keys that callers use; some may be withdrawn.
};

}
