#pragma once

#include <cstdint>
#include <string>

namespace lacewinglock
{

/// Processor time that the calling thread has used.
std::int64_t threadCpuMicroseconds();

/// Resident memory and processor time of the process, in Prometheus text format.
std::string processGauges();

}
