#pragma once

#include <cstdint>
#include <string>

namespace lacewinglock
{

/// CPU time used by the calling thread, in microseconds.
std::int64_t threadCpuMicroseconds();

/// Resident memory and CPU time of the process, in the Prometheus text format.
std::string processGauges();

}
