#include "state/process_gauges.h"

#include <ctime>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace lacewinglock
{

namespace
{

double cpuSeconds(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Reads the second field of statm, the number of resident pages.
std::uint64_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}

std::int64_t threadCpuMicroseconds()
{
    return static_cast<std::int64_t>(cpuSeconds(CLOCK_THREAD_CPUTIME_ID) * 1e6);
}

std::string processGauges()
{
    std::ostringstream out;
    out.precision(15);
    out << "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes " << residentBytes() << "\n"
        << "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total " << cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) << "\n";
    return out.str();
}

}
