#pragma once

#include <ostream>

namespace lacewinglock
{

/// Prints the wall and CPU time of one admission (enter and leave) in microseconds, for several numbers of organisations and waiting requests.
void benchAdmission(std::ostream &out);

/// Prints decisions per second and the wall and CPU time of one route decision in microseconds, for several numbers of endpoints.
void benchRouting(std::ostream &out);

}
