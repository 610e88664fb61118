#include "coordination/microbench.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(admission, false, "measure the time per admission");
DEFINE_bool(routing, false, "measure routing decisions per second and the time per decision");

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
