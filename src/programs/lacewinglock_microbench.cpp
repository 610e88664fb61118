#include "coordination/microbench.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(admission, false, "time of one admission");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures single decisions: --admission");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_admission) {
        lacewinglock::benchAdmission(std::cout);
    }
    return 0;
}
