#pragma once

#include "standin/virtual_cell.h"

#include <cstdint>

namespace lacewinglock
{

/// Load, operators and faults drawn from the generator of the cell, at any moment and combined.
class fault_schedule
{
public:
    explicit fault_schedule(virtual_cell &cell);

    /// Faults for this long, then a quiet time in which the cell recovers.
    void run(duration length);

private:
    void scheduleCalls();
    void scheduleFaults();
    void schedulePlans();
    void fault();
    void daemonFault(const std::string &id);
    void networkFault();
    void storeFault();
    void endpointFault();
    void operatorAction();
    std::string anyDaemon();
    std::string anyEngine();
    duration seconds(double low, double high);

    virtual_cell &m_cell;
    virtual_clock &m_clock;
    bool m_active = true;
    int m_bookings = 0;
    int m_poisons = 0;
    int m_nextKey = 100;
    std::vector<std::string> m_keys{"k1", "k2", "k3", "k4"}; ///< In use by callers; some may be withdrawn.
};

}
