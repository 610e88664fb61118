#include "coordination/microbench.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(admission, false, "time of one admission");
DEFINE_bool(routing, false, "route decisions per second and time per decision");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures single decisions: --admission --routing");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_admission) {
        lacewinglock::benchAdmission(std::cout);
    }
    if (FLAGS_routing) {
        lacewinglock::benchRouting(std::cout);
    }
    return 0;
}
